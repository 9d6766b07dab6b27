// Client-side SMPP connection: sends calls to one endpoint, a message centre, as submit_sm requests on one
// bind. A call carries one message; a long message takes several submit_sm and has one outcome.
//
// The connection counts as established once the bind is accepted, and nothing is sent before that, so every
// failure up to then proves that no call ran. When a bind is lost, the outcome of submits without a response
// is in doubt.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "back/driver.hpp"
#include "net/socket.hpp"
#include "smpp/session.hpp"
#include "sms/semantics.hpp"

namespace cedarplank::sms {

class BindLink final : public back::Link {
 public:
  // Throws where no connection to the address can be started. The endpoint's kind must have `smpp` settings.
  BindLink(loop::Loop& loop, const config::RelaySettings& settings, const config::PartnerEndpoint& endpoint,
           pool::LinkId id, back::EndpointDriver& driver, std::function<void(const std::string&)> log);
  ~BindLink() override;

  SubmitResult submit(const relay::OutgoingCall& call, Time left) override;
  void reset(relay::CallId call) override;
  void ping() override;
  void close() override;
  void drop() override;
  std::optional<Capacity> capacity() override;
  relay::CallResult ending_when_lost(relay::CallId call, const std::string& why) override;

 private:
  // A call that was submitted and has no outcome yet.
  struct SubmittedCall {
    std::deque<smpp::Message> unsent_parts;  // parts not yet sent
    std::map<std::uint32_t, std::uint64_t>
        outstanding_parts;                        // by sequence number: stream offset of its first byte
    std::vector<relay::CallResult> part_results;  // outcomes of the parts that have one
    bool failed = false;  // a part was not accepted: the unsent ones are not sent any more
  };
  void receive(std::string_view bytes);
  void tick();
  void on_events(std::vector<smpp::Event>& events);
  void on_response(smpp::Pdu& pdu);
  // Records the outcome of the part that was sent under this sequence number.
  void on_part_result(std::uint32_t sequence, relay::CallResult ending);
  // Sends unsent parts as long as the window has capacity.
  void send_parts(relay::CallId id, SubmittedCall& out);
  // Reports the call's outcome once no part of it is outstanding.
  void finish_if_done(relay::CallId id);
  // Whether a request may be sent now.
  bool can_send() const;
  void flush();
  void rearm();

  loop::Loop& loop_;
  const config::RelaySettings& settings_;
  const config::PartnerEndpoint endpoint_;
  const config::SmppEndpointSettings kind_;
  const pool::LinkId id_;
  back::EndpointDriver& driver_;
  std::function<void(const std::string&)> log_;
  smpp::Session session_;
  std::unique_ptr<net::Stream> stream_;
  std::map<relay::CallId, SubmittedCall> submitted_calls_;
  std::map<std::uint32_t, relay::CallId> call_by_sequence_;  // by sequence
  std::uint16_t reference_ = 0;
  loop::TimerId timer_ = 0;
  Time timer_at_ = 0;
  std::uint64_t unexpected_pdus_ = 0;  // invalid PDUs and unmatched responses; only the first is logged
  bool closing_ = false, closed_ = false;
};

}  // namespace cedarplank::sms
