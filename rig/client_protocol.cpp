#include "rig/client_protocol.hpp"

#include <map>

#include "http2/connection.hpp"
#include "smpp/session.hpp"
#include "sms/semantics.hpp"

namespace cedarplank::rig {
namespace {

class Http2ClientProtocol final : public ClientProtocol {
 public:
  explicit Http2ClientProtocol(const std::string& authority) : authority_(authority) {}
  void connected(Time) override {}
  void receive(Time now, std::string_view bytes, std::vector<ClientEvent>& client_events) override {
    std::vector<http2::Event> events;
    h2_.receive(now, bytes, events);
    for (auto& e : events) {
      using Type = http2::Event::Type;
      ready_ = ready_ || e.type == Type::settings;
      if (e.type == Type::unprocessed ||
          (e.type == Type::reset && e.code == http2::ErrorCode::refused_stream)) {
        client_events.push_back({ClientEvent::Type::not_accepted, e.stream, "", "", 0});
      } else if (e.type == Type::headers || e.type == Type::reset) {
        const auto status =
            e.type == Type::headers ? http2::find_header(e.headers, ":status") : std::string_view("0");
        const auto retry_after = std::string(http2::find_header(e.headers, "retry-after"));
        client_events.push_back({ClientEvent::Type::answer, e.stream, "", std::string(status),
                                 std::atoll(retry_after.c_str()) * 1'000'000});
      }
    }
  }
  bool ready() const override { return ready_; }
  bool can_push() const override { return h2_.can_request(); }
  bool failed() const override { return h2_.failed(); }
  std::uint32_t push(Time, const Push& p) override {
    http2::Headers headers = {{":method", "POST"},
                              {":scheme", "http"},
                              {":authority", authority_},
                              {":path", p.path},
                              {"ttl", std::to_string(p.ttl / 1'000'000)}};
    if (!p.key.empty()) headers.push_back({"idempotency-key", p.key});
    if (!p.topic.empty()) headers.push_back({"topic", p.topic});
    if (!p.tenant.empty()) headers.push_back({p.tenant_field, p.tenant});
    return h2_.request(headers, p.body);
  }
  void give_up(Time, std::uint32_t stream, const std::string&) override {
    h2_.reset(stream, http2::ErrorCode::cancel);
  }
  std::string take_output() override { return h2_.has_output() ? h2_.take_output() : std::string(); }

 private:
  std::string authority_;
  http2::Connection h2_{http2::Role::client};
  bool ready_ = false;
};

class SmppClientProtocol final : public ClientProtocol {
 public:
  SmppClientProtocol(Time now, const std::string& system_id, const std::string& password)
      : system_id_(system_id), password_(password), session_(smpp::Role::esme, settings(), now) {}
  void connected(Time now) override {
    session_.bind(now, smpp::Command::bind_transceiver, {system_id_, password_, "", 0x34, {}});
  }
  void receive(Time now, std::string_view bytes, std::vector<ClientEvent>& client_events) override {
    std::vector<smpp::Event> events;
    session_.receive(now, bytes, events);
    for (auto& e : events) {
      using Type = smpp::Event::Type;
      if (e.type == Type::response) {
        response(e.pdu, client_events);
      } else if (e.type == Type::request) {
        const auto* m = std::get_if<smpp::Message>(&e.pdu.body);
        if (const auto report = m == nullptr ? std::nullopt : sms::parse_receipt(*m))
          client_events.push_back({ClientEvent::Type::receipt, 0, report->message_id,
                                   report->state == sms::kDelivered  ? "201"
                                   : report->state == sms::kRejected ? "503"
                                                                     : "504",
                                   report->come_back});
        session_.respond(e.pdu, smpp::status::ok, smpp::MessageResp{});
      }
    }
  }
  bool ready() const override { return session_.bound(); }
  bool can_push() const override { return session_.can_request(); }
  bool failed() const override { return session_.state() == smpp::State::closed; }
  std::uint32_t push(Time now, const Push& p) override {
    smpp::Message m;
    m.service_type = service_type_of(p.message_class);
    m.source = {1, 1, "255700000001"}, m.destination = {5, 0, p.destination};
    m.registered_delivery = 1, m.validity = sms::format_relative_time(p.ttl);
    if (!p.key.empty()) m.tlvs.push_back({sms::own::key, p.key});
    if (!p.topic.empty()) m.tlvs.push_back({sms::own::topic, p.topic});
    if (p.body.size() <= 160)
      m.text = p.body;
    else
      m.tlvs.push_back({smpp::tag::message_payload, p.body});
    return session_.request(now, smpp::Command::submit_sm, std::move(m));
  }
  void give_up(Time now, std::uint32_t, const std::string& id) override {
    if (id.empty() || !session_.can_request()) return;
    session_.request(now, smpp::Command::cancel_sm, smpp::Cancel{"", id, {1, 1, "255700000001"}, {}});
  }
  std::string take_output() override {
    return session_.has_output() ? session_.take_output() : std::string();
  }

 private:
  static smpp::SessionSettings settings() {
    smpp::SessionSettings s;
    s.window = 1000, s.peer_window = 10'000;
    return s;
  }
  static void response(const smpp::Pdu& pdu, std::vector<ClientEvent>& client_events) {
    if (pdu.command != smpp::Command::submit_sm_resp && pdu.command != smpp::Command::generic_nack) return;
    const auto* body = std::get_if<smpp::MessageResp>(&pdu.body);
    if (pdu.status == smpp::status::ok && body != nullptr) {
      client_events.push_back({ClientEvent::Type::accepted, pdu.sequence, body->message_id, "", 0});
      return;
    }
    const auto wait = body == nullptr ? std::nullopt : smpp::tlv_number(body->tlvs, sms::own::wait);
    const bool busy = pdu.status == smpp::status::throttled || pdu.status == smpp::status::queue_full;
    client_events.push_back({ClientEvent::Type::answer, pdu.sequence, "", busy ? "503" : "400",
                             static_cast<Time>(wait.value_or(0)) * 1'000'000});
  }
  std::string system_id_, password_;
  smpp::Session session_;
};

}  // namespace

std::unique_ptr<ClientProtocol> make_http2_client_protocol(const std::string& authority) {
  return std::make_unique<Http2ClientProtocol>(authority);
}
std::unique_ptr<ClientProtocol> make_smpp_client_protocol(Time now, const std::string& system_id,
                                                          const std::string& password) {
  return std::make_unique<SmppClientProtocol>(now, system_id, password);
}

}  // namespace cedarplank::rig
