#include "rig/load.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace cedarplank::rig {
namespace {

constexpr Time kReconnect = 150'000, kConnectTimeout = 1'000'000, kAskEvery = 2'000;

double uniform(pcg64& random) { return std::uniform_real_distribution<double>()(random); }

}  // namespace

Time percentile(std::vector<Time>& values, double p) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto i = static_cast<std::size_t>(std::ceil(p * static_cast<double>(values.size())));
  return values[std::clamp<std::size_t>(i, 1, values.size()) - 1];
}

LoadClient::LoadClient(loop::Loop& loop, const LoadSettings& settings, std::vector<Target> targets,
                       Router router, record::Sink sink)
    : loop_(loop),
      settings_(settings),
      targets_(std::move(targets)),
      router_(std::move(router)),
      sink_(std::move(sink)),
      random_(settings.seed),
      queues_(targets_.size()),
      tallies_(settings.classes.size()) {
  double sum = 0;
  for (std::size_t i = 0; i < settings_.destinations.size(); i++)
    weights_.push_back(sum += 1 / std::pow(static_cast<double>(i + 1), settings_.skew));
  for (std::size_t t = 0; t < targets_.size(); t++)
    for (int i = 0; i < settings_.connections; i++) links_.emplace_back().target = t;
}

LoadClient::~LoadClient() {
  *alive_ = false;
  loop_.cancel(timer_);
}

void LoadClient::start() {
  for (std::size_t i = 0; i < links_.size(); i++) connect(i);
  asking_ = true;
  next_at_ = loop_.refresh();
  ask();
}

bool LoadClient::done() const { return !asking_ && waiting_ == 0; }

void LoadClient::connect(std::size_t index) {
  Link& l = links_[index];
  const std::uint64_t id = l.id = next_link_++;
  l.h2 = std::make_unique<http2::Connection>(http2::Role::client);
  l.tap.reset();
  if (sink_)
    l.tap =
        std::make_unique<record::Tap>(record::Record::Side::client, targets_[l.target].name, id, true, sink_);
  l.up = false;
  // The old stream may be the caller: it goes at the turn's end.
  if (l.stream) loop_.defer([old = std::shared_ptr<net::Stream>(std::move(l.stream))] {});
  net::Stream::Handlers handlers;
  handlers.connected = [this, index] { flush(links_[index]); };
  handlers.data = [this, index, id](std::string_view bytes) { receive(index, id, bytes); };
  handlers.closed = [this, index, id](const std::string&) { lost(index, id); };
  l.stream = std::make_unique<net::TcpStream>(loop_, net::Address::parse(targets_[l.target].address),
                                              kConnectTimeout, std::move(handlers));
}

void LoadClient::flush(Link& l) {
  if (!l.h2->has_output()) return;
  const std::string bytes = l.h2->take_output();
  if (l.tap) l.tap->pass(loop_.now(), true, bytes);
  l.stream->write(bytes);
}

void LoadClient::lost(std::size_t index, std::uint64_t id) {
  Link& l = links_[index];
  if (l.id != id) return;
  if (l.tap && l.up) l.tap->note(loop_.now(), "CLOSE");
  l.up = false;
  auto out = std::move(l.out);
  l.out.clear();
  for (auto& [stream, m] : out) {
    // The relay has gone with the message. It comes again only where a repeat is harmless: unsafe ones may
    // have taken effect, and keyed ones may only come within the window of the first try.
    const auto& c = settings_.classes[m.cls];
    const bool repeat = c.effect == Effect::safe ||
                        (c.effect == Effect::keyed && loop_.now() < m.first_at + c.key_window / 2);
    if (repeat && m.tries <= settings_.retries) {
      again(std::move(m), settings_.backoff);
    } else {
      tallies_[m.cls].lost++;
      ended(m);
    }
  }
  l.id = 0;
  // What was queued for that target and never sent goes another way.
  auto queued = std::move(queues_[l.target]);
  queues_[l.target].clear();
  for (auto& m : queued) submit(std::move(m));
  loop_.after(kReconnect, [this, index, alive = alive_] {
    if (*alive && (asking_ || waiting_ > 0)) connect(index);
  });
}

void LoadClient::receive(std::size_t index, std::uint64_t id, std::string_view bytes) {
  Link& l = links_[index];
  if (l.id != id) return;
  if (l.tap) l.tap->pass(loop_.now(), false, bytes);
  std::vector<http2::Event> events;
  l.h2->receive(loop_.now(), bytes, events);
  for (auto& e : events) {
    using Type = http2::Event::Type;
    if (e.type == Type::settings) l.up = true;
    if (e.type != Type::headers && e.type != Type::reset && e.type != Type::unprocessed) continue;
    const auto it = l.out.find(e.stream);
    if (it == l.out.end()) {
      doubled_ += e.type == Type::headers;
      continue;
    }
    Message m = std::move(it->second);
    l.out.erase(it);
    Tally& t = tallies_[m.cls];
    if (e.type == Type::unprocessed ||
        (e.type == Type::reset && e.code == http2::ErrorCode::refused_stream)) {
      again(std::move(m), settings_.backoff);  // proved not taken
      continue;
    }
    const auto status =
        e.type == Type::headers ? http2::find_header(e.headers, ":status") : std::string_view("0");
    if (status[0] == '2') {
      t.served++;
      t.latencies.push_back(loop_.now() - m.first_at);
      ended(m);
    } else if (status == "503" || status == "429") {
      if (m.tries <= settings_.retries) {
        Time wait = settings_.backoff;
        const auto told = http2::find_header(e.headers, "retry-after");
        if (!told.empty() && uniform(random_) < settings_.honour)
          wait = std::max<Time>(wait, std::atoll(std::string(told).c_str()) * 1'000'000);
        again(std::move(m), wait);
      } else {
        t.refused++;
        ended(m);
      }
    } else if (status == "502" || status == "504") {
      t.failed++;
      ended(m);
    } else {
      t.bad++;
      ended(m);
    }
  }
  flush(l);
  if (l.h2->failed()) {
    l.stream->close();
    return lost(index, id);
  }
  pump();
}

void LoadClient::ended(const Message&) {
  answered_++, waiting_--;
  if (settings_.outstanding > 0 && asking_ && settings_.rate <= 0)
    loop_.defer([this, alive = alive_] {
      if (*alive) ask();
    });
  if (done() && on_done_) loop_.defer([f = on_done_] { f(); });
}

void LoadClient::again(Message m, Time wait) {
  const Time left = m.first_at + settings_.classes[m.cls].deadline - loop_.now() - wait;
  if (left < 1'000'000) {
    tallies_[m.cls].refused++;
    return ended(m);
  }
  loop_.after(wait, [this, alive = alive_, m = std::move(m)]() mutable {
    if (*alive) submit(std::move(m)), pump();
  });
}

LoadClient::Message LoadClient::draw() {
  Message m;
  m.number = next_number_++;
  double dice = uniform(random_), sum = 0, total = 0;
  for (const auto& c : settings_.classes) total += c.share;
  for (std::size_t i = 0; i < settings_.classes.size(); i++) {
    sum += settings_.classes[i].share / total;
    m.cls = i;
    if (dice < sum) break;
  }
  const auto& cls = settings_.classes[m.cls];
  dice = uniform(random_) * weights_.back();
  m.destination =
      static_cast<std::size_t>(std::lower_bound(weights_.begin(), weights_.end(), dice) - weights_.begin());
  const double hot = uniform(random_);
  if (hot_ >= 0 && hot < hot_share_) m.destination = static_cast<std::size_t>(hot_);
  const auto topic = random_(static_cast<std::uint64_t>(settings_.topics));
  if (cls.effect == Effect::keyed)
    m.key = "k-" + std::to_string(settings_.seed) + "-" + std::to_string(m.number);
  if (cls.ordered) m.topic = "d" + std::to_string(m.destination) + "-t" + std::to_string(topic);
  if (!settings_.tenants.empty()) m.tenant = settings_.tenants[random_(settings_.tenants.size())];
  m.first_at = loop_.now();
  return m;
}

void LoadClient::ask() {
  timer_ = 0;
  if (!asking_) return;
  const Time now = loop_.refresh();
  const auto may = [&] {
    return (settings_.count == 0 || next_number_ <= settings_.count) &&
           (settings_.outstanding == 0 || waiting_ < settings_.outstanding);
  };
  while (may() && (settings_.rate <= 0 || next_at_ <= now)) {
    if (settings_.rate > 0) {
      std::exponential_distribution<double> gap(settings_.rate * rate_times_);
      next_at_ += static_cast<Time>(gap(random_) * 1e6);
    }
    Message m = draw();
    tallies_[m.cls].asked++;
    waiting_++;
    submit(std::move(m));
  }
  pump();
  if (settings_.count > 0 && next_number_ > settings_.count) {
    asking_ = false;
    if (done() && on_done_) loop_.defer([f = on_done_] { f(); });
    return;
  }
  if (settings_.rate > 0) timer_ = loop_.after(std::max<Time>(kAskEvery, next_at_ - now), [this] { ask(); });
}

void LoadClient::submit(Message m) {
  std::vector<bool> up(targets_.size(), false);
  for (const auto& l : links_)
    if (l.up) up[l.target] = true;
  const auto [target, path] = router_(m, up);
  queues_[target].push_back(std::move(m));
}

void LoadClient::pump() {
  for (auto& l : links_) {
    auto& queue = queues_[l.target];
    while (l.up && !queue.empty() && l.h2->can_request()) {
      Message m = std::move(queue.front());
      queue.pop_front();
      std::vector<bool> up(targets_.size(), true);
      const auto& cls = settings_.classes[m.cls];
      // What is left of the message's time; the first try gives the class's whole deadline.
      const Time left = m.first_at + cls.deadline - loop_.now();
      const auto ttl = std::max<Time>(0, m.tries == 0 ? (left + 999'999) / 1'000'000 : left / 1'000'000);
      http2::Headers headers = {{":method", "POST"},
                                {":scheme", "http"},
                                {":authority", targets_[l.target].address},
                                {":path", router_(m, up).second},
                                {"ttl", std::to_string(ttl)}};
      if (!m.key.empty()) headers.push_back({"idempotency-key", m.key});
      if (!m.topic.empty()) headers.push_back({"topic", m.topic});
      if (!m.tenant.empty()) headers.push_back({settings_.tenant_field, m.tenant});
      std::string body =
          "id=m-" + std::to_string(m.number) + "." + std::to_string(m.tries) + ";class=" + cls.name + ";";
      if (body.size() < settings_.body) body.append(settings_.body - body.size(), 'x');
      m.tries++, m.tried_at = loop_.now();
      tallies_[m.cls].tries++;
      const auto stream = l.h2->request(headers, body);
      const bool gives_up = settings_.reset_share > 0 && uniform(random_) < settings_.reset_share;
      l.out[stream] = std::move(m);
      if (gives_up) {
        const auto index = static_cast<std::size_t>(&l - links_.data());
        loop_.after(static_cast<Time>(uniform(random_) * 60'000),
                    [this, index, stream, id = l.id, alive = alive_] {
                      if (!*alive || links_[index].id != id) return;
                      const auto it = links_[index].out.find(stream);
                      if (it == links_[index].out.end()) return;
                      const Message gone = std::move(it->second);
                      links_[index].out.erase(it);
                      links_[index].h2->reset(stream, http2::ErrorCode::cancel);
                      flush(links_[index]);
                      tallies_[gone.cls].reset++;
                      ended(gone);
                    });
      }
    }
    if (l.stream && l.id != 0) flush(l);
  }
}

}  // namespace cedarplank::rig
