#include "rig/load_client.hpp"

#include <algorithm>

namespace cedarplank::rig {
namespace {

constexpr Time kReconnectDelay = 150'000, kConnectTimeout = 1'000'000, kLeastSendInterval = 2'000,
               kReceiptGrace = 5'000'000;  // how long after a message's time to live its receipt may come

}  // namespace

LoadClient::LoadClient(loop::Loop& loop, const LoadSettings& settings, std::vector<Target> targets,
                       Router router, record::Sink sink)
    : loop_(loop),
      model_(settings),
      targets_(std::move(targets)),
      router_(std::move(router)),
      sink_(std::move(sink)),
      accepted_(targets_.size()),
      queues_(targets_.size()) {
  for (std::size_t t = 0; t < targets_.size(); t++)
    for (int i = 0; i < settings_.connections; i++) connections_.emplace_back().target = t;
}

LoadClient::~LoadClient() {
  *alive_ = false;
  loop_.cancel(timer_);
}

void LoadClient::start() {
  for (std::size_t i = 0; i < connections_.size(); i++) connect(i);
  creating_ = true;
  next_message_at_ = loop_.refresh_now();
  create_due_messages();
  expire_receipts();
}

// Gives up waiting for receipts that never come because their relay was killed.
void LoadClient::expire_receipts() {
  for (auto& t : accepted_) {
    for (auto it = t.awaiting_receipt.begin(); it != t.awaiting_receipt.end();) {
      if (it->second.until > loop_.now()) {
        ++it;
        continue;
      }
      Message m = std::move(it->second.message);
      it = t.awaiting_receipt.erase(it);
      const auto next = model_.on_lost(m, loop_.now());
      apply_next_step(std::move(m), next);
    }
  }
  loop_.after(200'000, [this, alive = alive_] {
    if (*alive) expire_receipts();
  });
}

bool LoadClient::done() const { return !creating_ && unanswered() == 0; }

void LoadClient::connect(std::size_t index) {
  Connection& l = connections_[index];
  const std::uint64_t id = l.id = next_connection_++;
  const Target& target = targets_[l.target];
  l.protocol = target.system_id.empty()
                   ? make_http2_client_protocol(target.address)
                   : make_smpp_client_protocol(loop_.now(), target.system_id, target.password);
  l.capture = sink_ ? make_capture(l) : nullptr;
  l.up = false;
  // This may run in a callback of the old stream, which is therefore destroyed after the loop's current turn.
  if (l.stream) loop_.defer([old = std::shared_ptr<net::Stream>(std::move(l.stream))] {});
  net::Stream::Handlers handlers;
  handlers.connected = [this, index] {
    connections_[index].protocol->connected(loop_.now());
    flush(connections_[index]);
  };
  handlers.data = [this, index, id](std::string_view bytes) { receive(index, id, bytes); };
  handlers.closed = [this, index, id](const std::string&) { on_connection_lost(index, id); };
  l.stream = std::make_unique<net::TcpStream>(loop_, net::Address::parse(targets_[l.target].address),
                                              kConnectTimeout, std::move(handlers));
}

std::unique_ptr<record::WireCapture> LoadClient::make_capture(const Connection& l) {
  const Target& target = targets_[l.target];
  const auto side = record::CaptureRecord::Side::client;
  if (target.system_id.empty())
    return std::make_unique<record::Http2WireCapture>(side, target.name, l.id, true, sink_);
  const auto path_of = [this](const smpp::Message& m) {
    for (const auto& c : settings_.classes)
      if (service_type_of(c.name) == m.service_type) return "/push/" + m.destination.digits + "/" + c.name;
    return std::string();
  };
  return std::make_unique<record::SmppWireCapture>(
      side, target.name, l.id, sink_,
      record::SmppWireCapture::ClientContext{path_of, accepted_[l.target].book});
}

void LoadClient::flush(Connection& l) {
  const std::string bytes = l.protocol->take_output();
  if (bytes.empty()) return;
  if (l.capture) l.capture->process_bytes(loop_.now(), true, bytes);
  l.stream->write(bytes);
}

void LoadClient::on_connection_lost(std::size_t index, std::uint64_t id) {
  Connection& l = connections_[index];
  if (l.id != id) return;
  if (l.capture && l.up) l.capture->record_connection_event(loop_.now(), "CLOSE");
  l.up = false;
  auto out = std::move(l.open_requests);
  l.open_requests.clear();
  for (auto& [stream, m] : out) {
    const auto next = model_.on_lost(m, loop_.now());
    apply_next_step(std::move(m), next);
  }
  l.id = 0;
  // Messages that were queued for that target and never sent are routed again.
  auto queued = std::move(queues_[l.target]);
  queues_[l.target].clear();
  for (auto& m : queued) submit(std::move(m));
  loop_.after(kReconnectDelay, [this, index, alive = alive_] {
    if (*alive && (creating_ || unanswered() > 0)) connect(index);
  });
}

void LoadClient::receive(std::size_t index, std::uint64_t id, std::string_view bytes) {
  Connection& l = connections_[index];
  if (l.id != id) return;
  if (l.capture) l.capture->process_bytes(loop_.now(), false, bytes);
  std::vector<ClientEvent> events;
  l.protocol->receive(loop_.now(), bytes, events);
  l.up = l.protocol->ready();
  for (const auto& h : events) on_event(l, h);
  flush(l);
  if (l.protocol->failed()) {
    l.stream->close();
    return on_connection_lost(index, id);
  }
  push_queued();
}

void LoadClient::on_event(Connection& l, const ClientEvent& h) {
  AcceptedMessages& accepted = accepted_[l.target];
  if (h.type == ClientEvent::Type::receipt) return on_receipt(accepted, h);
  const auto it = l.open_requests.find(h.stream);
  if (it == l.open_requests.end()) {
    duplicate_answers_ += h.type == ClientEvent::Type::answer && h.status != "0";
    return;
  }
  Message m = std::move(it->second);
  l.open_requests.erase(it);
  if (h.type == ClientEvent::Type::accepted) {
    const Time until = loop_.now() + model_.ttl(m, loop_.now()) + kReceiptGrace;
    accepted.awaiting_receipt[h.id] = {std::move(m), until, l.id, h.stream};
    const auto early = accepted.early_receipts.find(h.id);
    if (early == accepted.early_receipts.end()) return;
    const ClientEvent receipt = early->second;
    accepted.early_receipts.erase(early);
    return on_receipt(accepted, receipt);
  }
  const auto next = h.type == ClientEvent::Type::not_accepted
                        ? model_.on_not_accepted(m, loop_.now())
                        : model_.on_answer(m, h.status, h.wait, loop_.now());
  apply_next_step(std::move(m), next);
}

void LoadClient::on_receipt(AcceptedMessages& accepted, const ClientEvent& h) {
  const auto it = accepted.awaiting_receipt.find(h.id);
  if (it == accepted.awaiting_receipt.end()) {
    const auto before = accepted.ended.find(h.id);
    if (before == accepted.ended.end())
      accepted.early_receipts[h.id] = h;
    else
      // A receipt that comes again with the same status counts as one answer.
      duplicate_answers_ += !before->second.empty() && before->second != h.status;
    return;
  }
  Message m = std::move(it->second.message);
  accepted.awaiting_receipt.erase(it);
  accepted.ended[h.id] = h.status;
  const auto next = model_.on_answer(m, h.status, h.wait, loop_.now());
  apply_next_step(std::move(m), next);
}

void LoadClient::apply_next_step(Message m, LoadModel::NextStep next) {
  if (next.retry) {
    loop_.after(next.wait, [this, alive = alive_, m = std::move(m)]() mutable {
      if (*alive) submit(std::move(m)), push_queued();
    });
    return;
  }
  if (settings_.outstanding > 0 && creating_ && settings_.rate <= 0)
    loop_.defer([this, alive = alive_] {
      if (*alive) create_due_messages();
    });
  if (done() && on_done_) loop_.defer([f = on_done_] { f(); });
}

void LoadClient::create_due_messages() {
  timer_ = 0;
  if (!creating_) return;
  const Time now = loop_.refresh_now();
  const auto may_send = [&] {
    return !model_.all_created() && (settings_.outstanding == 0 || unanswered() < settings_.outstanding);
  };
  while (may_send() && (settings_.rate <= 0 || next_message_at_ <= now)) {
    if (settings_.rate > 0) next_message_at_ += model_.next_interval();
    submit(model_.create_message(now));
  }
  push_queued();
  if (model_.all_created()) {
    creating_ = false;
    if (done() && on_done_) loop_.defer([f = on_done_] { f(); });
    return;
  }
  if (settings_.rate > 0)
    timer_ = loop_.after(std::max<Time>(kLeastSendInterval, next_message_at_ - now),
                         [this] { create_due_messages(); });
}

void LoadClient::submit(Message m) {
  std::vector<bool> up(targets_.size(), false);
  for (const auto& l : connections_)
    if (l.up) up[l.target] = true;
  const auto [target, path] = router_(m, up);
  queues_[target].push_back(std::move(m));
}

void LoadClient::push_queued() {
  for (auto& l : connections_) {
    auto& queue = queues_[l.target];
    while (l.up && !queue.empty() && l.protocol->can_push()) {
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
                model_.ttl(m, loop_.now())};
      if (m.tenant >= 0)
        push.tenant = settings_.tenants[static_cast<std::size_t>(m.tenant)],
        push.tenant_field = settings_.tenant_field;
      std::string body = "id=" + model_.request_name(m) + ";class=" + cls.name + ";";
      if (body.size() < settings_.body) body.append(settings_.body - body.size(), 'x');
      model_.count_request(m, loop_.now());
      push.body = std::move(body);
      const auto stream = l.protocol->push(loop_.now(), push);
      const bool gives_up = model_.draw_give_up();
      l.open_requests[stream] = std::move(m);
      if (gives_up) schedule_give_up(l, stream);
    }
    if (l.stream && l.id != 0) flush(l);
  }
}

void LoadClient::schedule_give_up(Connection& l, std::uint32_t stream) {
  const auto index = static_cast<std::size_t>(&l - connections_.data());
  loop_.after(model_.draw_give_up_delay(), [this, index, stream, id = l.id, alive = alive_] {
    if (!*alive || connections_[index].id != id) return;
    Connection& link = connections_[index];
    const auto it = link.open_requests.find(stream);
    AcceptedMessages& accepted = accepted_[link.target];
    const auto held =
        std::find_if(accepted.awaiting_receipt.begin(), accepted.awaiting_receipt.end(),
                     [&](const auto& h) { return h.second.link == id && h.second.stream == stream; });
    if (it == link.open_requests.end() && held == accepted.awaiting_receipt.end()) return;
    std::string id_at_relay;
    Message given_up;
    if (it != link.open_requests.end()) {
      given_up = std::move(it->second);
      link.open_requests.erase(it);
    } else {
      id_at_relay = held->first, given_up = std::move(held->second.message);
      accepted.awaiting_receipt.erase(held);
      accepted.ended[id_at_relay] = "";
    }
    link.protocol->give_up(loop_.now(), stream, id_at_relay);
    flush(link);
    model_.on_given_up(given_up);
    apply_next_step(given_up, {});
  });
}

}  // namespace cedarplank::rig
