// SMPP protocol of a stand-in endpoint: a message centre (SMPP v3.4) with the same faults as the push gateway
// and some of its own: duplicated responses, responses out of order, unrequested receipts before a
// response.
#include <algorithm>
#include <map>
#include <stdexcept>

#include "smpp/session.hpp"
#include "smpp/text.hpp"
#include "standin/protocol.hpp"

namespace cedarplank::standin {
namespace {

namespace st = smpp::status;
using emulator::Fault;
constexpr std::uint16_t kKey = 0x1401, kWait = 0x1403;  // vendor TLV tags, see docs/operate/smpp.md

class SmscProtocol final : public ServerProtocol {
 public:
  explicit SmscProtocol(const ProtocolSettings& s)
      : s_(s), max_open_(s.streams), random_(s.seed), session_(smpp::Role::smsc, settings(), 0) {}

  void receive(Time now, std::string_view bytes, std::vector<ReceivedCall>& calls) override {
    now_ = now;
    std::vector<smpp::Event> events;
    session_.receive(now, bytes, events);
    for (auto& e : events) {
      if (e.type == smpp::Event::Type::bind) {
        if (has_fault(Fault::bind_refused))
          session_.reject(st::bind_failed);
        else
          session_.accept(now, "standin");
      } else if (e.type == smpp::Event::Type::request) {
        request(e.pdu, calls);
      }
    }
  }
  bool failed() const override { return session_.state() == smpp::State::closed; }
  std::size_t open_calls() const override { return pending_.size(); }

  void respond(std::uint32_t stream, int status, Time wait) override {
    const auto code = status == 201   ? st::ok
                      : status == 429 ? st::throttled
                      : status == 503 ? st::system_error
                      : status == 400 ? st::invalid_command_length
                                      : st::receiver_temporary;
    answer(stream, code, wait);
  }
  void refuse(std::uint32_t stream) override { answer(stream, st::queue_full, 0); }
  void go_away(std::uint32_t stream) override {
    announce_shutdown();
    answer(stream, st::wrong_bind_state, 0);
  }
  void announce_shutdown() override { session_.unbind(now_); }
  void limit_calls(int streams) override { max_open_ = streams; }
  std::string take_output() override {
    if (session_.has_output()) output_ += session_.take_output();
    return std::exchange(output_, std::string());
  }
  std::string foreign_bytes() const override { return std::string("\0\0\0\x03not SMPP at all", 19); }

 private:
  static smpp::SessionSettings settings() {
    smpp::SessionSettings s;
    // The session never times out by itself.
    s.session_init = smpp::kNever / 4, s.response_timeout = smpp::kNever / 4;
    return s;
  }
  bool has_fault(Fault f) const {
    return s_.partner != nullptr && s_.partner->fault(s_.endpoint, f) != nullptr;
  }
  // Whether the fault is on and its share hits this response.
  bool applies(Fault f) {
    const auto* fault = s_.partner == nullptr ? nullptr : s_.partner->fault(s_.endpoint, f);
    return fault != nullptr &&
           (fault->share >= 1 || static_cast<double>(random_(1000)) < fault->share * 1000);
  }

  void request(smpp::Pdu& pdu, std::vector<ReceivedCall>& calls) {
    if (pdu.command != smpp::Command::submit_sm) return session_.respond(pdu, st::invalid_command);
    const auto& m = std::get<smpp::Message>(pdu.body);
    if (static_cast<int>(pending_.size()) >= max_open_) return session_.respond(pdu, st::throttled);
    smpp::ParsedText parts;
    ReceivedCall a;
    a.stream = pdu.sequence;
    try {
      parts = smpp::parse_text(m);
    } catch (const std::invalid_argument&) {
      return session_.respond(pdu, st::invalid_esm_class);
    }
    if (m.validity.empty() || m.destination.digits.empty())
      return session_.respond(pdu, st::invalid_destination);
    const auto* key = smpp::find_tlv(m.tlvs, kKey);
    if (key != nullptr) a.key = key->value;
    pending_[pdu.sequence] = pdu;
    std::string text = std::move(parts.text);
    if (parts.part) {
      // A part alone has no effect: it is accepted, and the message is handled when all parts are there.
      auto whole = assembly_.add(m.destination.digits, *parts.part, std::move(text));
      if (!whole) return answer(pdu.sequence, st::ok, 0);
      text = std::move(*whole);
    }
    a.message = record::message_id_in(text), a.message_class = record::message_class_in(text);
    calls.push_back(std::move(a));
  }

  void answer(std::uint32_t stream, smpp::Status status, Time wait) {
    const auto it = pending_.find(stream);
    if (it == pending_.end()) return;
    const smpp::Pdu request = std::move(it->second);
    pending_.erase(it);
    // out_of_order: this response is delayed until the next one has been sent.
    if (!delayed_ && applies(Fault::out_of_order) && !pending_.empty()) {
      delayed_ = {request, status, wait};
      return;
    }
    send_response(request, status, wait);
    if (delayed_) {
      const auto previous = std::exchange(delayed_, std::nullopt);
      send_response(previous->request, previous->status, previous->wait);
    }
  }
  void send_response(const smpp::Pdu& request, smpp::Status status, Time wait) {
    smpp::MessageResp body;
    if (status == st::ok)
      body.message_id = s_.endpoint.substr(0, 40) + "-" + std::to_string(request.sequence);
    if (wait > 0)
      body.tlvs.push_back(smpp::make_tlv(kWait, static_cast<std::uint32_t>((wait + 999'999) / 1'000'000), 4));
    if (status == st::ok && applies(Fault::early_receipt)) send_receipt(request, body.message_id);
    if (applies(Fault::stray_receipt))
      send_receipt(request, "nobody-knows-" + std::to_string(request.sequence));
    if (session_.has_output()) output_ += session_.take_output();
    session_.respond(request, status, body);
    const std::string response = session_.take_output();
    output_ += response;
    if (applies(Fault::twice)) output_ += response;
  }
  void send_receipt(const smpp::Pdu& request, const std::string& id) {
    if (!session_.can_request()) return;
    const auto& m = std::get<smpp::Message>(request.body);
    smpp::Message r;
    r.esm_class = 4, r.source = m.destination, r.destination = m.source;
    r.text = "id:" + id +
             " sub:001 dlvrd:001 submit date:2601010000 done date:2601010000 stat:DELIVRD err:000 text:";
    r.tlvs = {{smpp::tag::receipted_message_id, id + '\0'}, smpp::make_tlv(smpp::tag::message_state, 2, 1)};
    session_.request(now_, smpp::Command::deliver_sm, std::move(r));
  }

  struct Delayed {
    smpp::Pdu request;
    smpp::Status status;
    Time wait;
  };
  ProtocolSettings s_;
  int max_open_;
  pcg32 random_;
  smpp::Session session_;
  Time now_ = 0;
  std::map<std::uint32_t, smpp::Pdu> pending_;  // by sequence number: requests without a response
  std::optional<Delayed> delayed_;
  smpp::MessageAssembler assembly_;
  std::string output_;  // bytes to send
};

}  // namespace

std::unique_ptr<ServerProtocol> make_smsc_protocol(const ProtocolSettings& s) {
  return std::make_unique<SmscProtocol>(s);
}

}  // namespace cedarplank::standin
