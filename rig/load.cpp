#include "rig/load.hpp"

#include <algorithm>

namespace cedarplank::rig {
namespace {

constexpr Time kReconnectDelay = 150'000, kConnectTimeout = 1'000'000, kLeastSendInterval = 2'000,
               kReceiptGrace = 5'000'000;  // how long after a message's time to live its receipt may come

}  // namespace

LoadClient::LoadClient(loop::Loop& loop, const LoadSettings& settings, std::vector<Target> targets,
                       Router router, record::Sink sink)
    : loop_(loop),
      book_(settings),
      targets_(std::move(targets)),
      router_(std::move(router)),
      sink_(std::move(sink)),
      taken_(targets_.size()),
      queues_(targets_.size()) {
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
  look_for_receipts();
}

// Gives up waiting for receipts that never come because their relay was killed.
void LoadClient::look_for_receipts() {
  for (auto& t : taken_) {
    for (auto it = t.held.begin(); it != t.held.end();) {
      if (it->second.until > loop_.now()) {
        ++it;
        continue;
      }
      Message m = std::move(it->second.message);
      it = t.held.erase(it);
      const auto next = book_.lost(m, loop_.now());
      follow(std::move(m), next);
    }
  }
  loop_.after(200'000, [this, alive = alive_] {
    if (*alive) look_for_receipts();
  });
}

bool LoadClient::done() const { return !asking_ && waiting() == 0; }

void LoadClient::connect(std::size_t index) {
  Link& l = links_[index];
  const std::uint64_t id = l.id = next_link_++;
  const Target& target = targets_[l.target];
  l.wire = target.system_id.empty() ? http2_client_wire(target.address)
                                    : smpp_client_wire(loop_.now(), target.system_id, target.password);
  l.tap = sink_ ? tap_of(l) : nullptr;
  l.up = false;
  // This may run in a callback of the old stream, which is therefore destroyed after the loop's current turn.
  if (l.stream) loop_.defer([old = std::shared_ptr<net::Stream>(std::move(l.stream))] {});
  net::Stream::Handlers handlers;
  handlers.connected = [this, index] {
    links_[index].wire->connected(loop_.now());
    flush(links_[index]);
  };
  handlers.data = [this, index, id](std::string_view bytes) { receive(index, id, bytes); };
  handlers.closed = [this, index, id](const std::string&) { lost(index, id); };
  l.stream = std::make_unique<net::TcpStream>(loop_, net::Address::parse(targets_[l.target].address),
                                              kConnectTimeout, std::move(handlers));
}

std::unique_ptr<record::Tap> LoadClient::tap_of(const Link& l) {
  const Target& target = targets_[l.target];
  const auto side = record::Record::Side::client;
  if (target.system_id.empty())
    return std::make_unique<record::Http2Tap>(side, target.name, l.id, true, sink_);
  const auto path_of = [this](const smpp::Message& m) {
    for (const auto& c : settings_.classes)
      if (service_type_of(c.name) == m.service_type) return "/push/" + m.destination.digits + "/" + c.name;
    return std::string();
  };
  return std::make_unique<record::SmppTap>(side, target.name, l.id, sink_,
                                           record::SmppTap::Client{path_of, taken_[l.target].book});
}

void LoadClient::flush(Link& l) {
  const std::string bytes = l.wire->take_output();
  if (bytes.empty()) return;
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
    const auto next = book_.lost(m, loop_.now());
    follow(std::move(m), next);
  }
  l.id = 0;
  // Messages that were queued for that target and never sent are routed again.
  auto queued = std::move(queues_[l.target]);
  queues_[l.target].clear();
  for (auto& m : queued) submit(std::move(m));
  loop_.after(kReconnectDelay, [this, index, alive = alive_] {
    if (*alive && (asking_ || waiting() > 0)) connect(index);
  });
}

void LoadClient::receive(std::size_t index, std::uint64_t id, std::string_view bytes) {
  Link& l = links_[index];
  if (l.id != id) return;
  if (l.tap) l.tap->pass(loop_.now(), false, bytes);
  std::vector<Heard> events;
  l.wire->receive(loop_.now(), bytes, events);
  l.up = l.wire->up();
  for (const auto& h : events) on_heard(l, h);
  flush(l);
  if (l.wire->failed()) {
    l.stream->close();
    return lost(index, id);
  }
  pump();
}

void LoadClient::on_heard(Link& l, const Heard& h) {
  Taken& accepted = taken_[l.target];
  if (h.what == Heard::What::receipt) return on_receipt(accepted, h);
  const auto it = l.out.find(h.stream);
  if (it == l.out.end()) {
    doubled_ += h.what == Heard::What::answer && h.status != "0";
    return;
  }
  Message m = std::move(it->second);
  l.out.erase(it);
  if (h.what == Heard::What::taken) {
    const Time until = loop_.now() + book_.ttl(m, loop_.now()) + kReceiptGrace;
    accepted.held[h.id] = {std::move(m), until, l.id, h.stream};
    const auto early = accepted.early.find(h.id);
    if (early == accepted.early.end()) return;
    const Heard receipt = early->second;
    accepted.early.erase(early);
    return on_receipt(accepted, receipt);
  }
  const auto next = h.what == Heard::What::not_taken ? book_.not_taken(m, loop_.now())
                                                     : book_.answered(m, h.status, h.wait, loop_.now());
  follow(std::move(m), next);
}

void LoadClient::on_receipt(Taken& accepted, const Heard& h) {
  const auto it = accepted.held.find(h.id);
  if (it == accepted.held.end()) {
    const auto before = accepted.ended.find(h.id);
    if (before == accepted.ended.end())
      accepted.early[h.id] = h;
    else
      // A receipt that comes again with the same status counts as one answer.
      doubled_ += !before->second.empty() && before->second != h.status;
    return;
  }
  Message m = std::move(it->second.message);
  accepted.held.erase(it);
  accepted.ended[h.id] = h.status;
  const auto next = book_.answered(m, h.status, h.wait, loop_.now());
  follow(std::move(m), next);
}

void LoadClient::follow(Message m, LoadBook::Next next) {
  if (next.again) {
    loop_.after(next.wait, [this, alive = alive_, m = std::move(m)]() mutable {
      if (*alive) submit(std::move(m)), pump();
    });
    return;
  }
  if (settings_.outstanding > 0 && asking_ && settings_.rate <= 0)
    loop_.defer([this, alive = alive_] {
      if (*alive) ask();
    });
  if (done() && on_done_) loop_.defer([f = on_done_] { f(); });
}

void LoadClient::ask() {
  timer_ = 0;
  if (!asking_) return;
  const Time now = loop_.refresh();
  const auto may_send = [&] {
    return !book_.all_asked() && (settings_.outstanding == 0 || waiting() < settings_.outstanding);
  };
  while (may_send() && (settings_.rate <= 0 || next_at_ <= now)) {
    if (settings_.rate > 0) next_at_ += book_.gap();
    submit(book_.ask(now));
  }
  pump();
  if (book_.all_asked()) {
    asking_ = false;
    if (done() && on_done_) loop_.defer([f = on_done_] { f(); });
    return;
  }
  if (settings_.rate > 0)
    timer_ = loop_.after(std::max<Time>(kLeastSendInterval, next_at_ - now), [this] { ask(); });
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
    while (l.up && !queue.empty() && l.wire->can_push()) {
      Message m = std::move(queue.front());
      queue.pop_front();
      std::vector<bool> up(targets_.size(), true);
      const auto& cls = settings_.classes[m.cls];
      Push push{router_(m, up).second,
                settings_.destinations[m.destination],
                cls.name,
                m.key,
                m.topic,
                "",
                "",
                "",
                book_.ttl(m, loop_.now())};
      if (m.tenant >= 0)
        push.tenant = settings_.tenants[static_cast<std::size_t>(m.tenant)],
        push.tenant_field = settings_.tenant_field;
      std::string body = "id=" + book_.name_of(m) + ";class=" + cls.name + ";";
      if (body.size() < settings_.body) body.append(settings_.body - body.size(), 'x');
      book_.tried(m, loop_.now());
      push.body = std::move(body);
      const auto stream = l.wire->push(loop_.now(), push);
      const bool gives_up = book_.gives_up();
      l.out[stream] = std::move(m);
      if (gives_up) give_up_later(l, stream);
    }
    if (l.stream && l.id != 0) flush(l);
  }
}

void LoadClient::give_up_later(Link& l, std::uint32_t stream) {
  const auto index = static_cast<std::size_t>(&l - links_.data());
  loop_.after(book_.gives_up_after(), [this, index, stream, id = l.id, alive = alive_] {
    if (!*alive || links_[index].id != id) return;
    Link& link = links_[index];
    const auto it = link.out.find(stream);
    Taken& accepted = taken_[link.target];
    const auto held = std::find_if(accepted.held.begin(), accepted.held.end(), [&](const auto& h) {
      return h.second.link == id && h.second.stream == stream;
    });
    if (it == link.out.end() && held == accepted.held.end()) return;
    std::string id_at_relay;
    Message given_up;
    if (it != link.out.end()) {
      given_up = std::move(it->second);
      link.out.erase(it);
    } else {
      id_at_relay = held->first, given_up = std::move(held->second.message);
      accepted.held.erase(held);
      accepted.ended[id_at_relay] = "";
    }
    link.wire->give_up(loop_.now(), stream, id_at_relay);
    flush(link);
    book_.gave_up(given_up);
    follow(given_up, {});
  });
}

}  // namespace cedarplank::rig
