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
           pool::LinkId id, back::Driver& driver, std::function<void(const std::string&)> log);
  ~BindLink() override;

  Submitted submit(const relay::CallOrder& call, Time left) override;
  void reset(relay::CallId call) override;
  void ping() override;
  void close() override;
  void drop() override;
  std::optional<Room> room() override;
  relay::Ending ending_when_lost(relay::CallId call, const std::string& why) override;

 private:
  // A call that was submitted and has no outcome yet.
  struct Out {
    std::deque<smpp::Message> unsent;                // parts not yet sent
    std::map<std::uint32_t, std::uint64_t> waiting;  // by sequence number: stream offset of its first byte
    std::vector<relay::Ending> ended;                // outcomes of the parts that have one
    bool broken = false;  // a part was not accepted: the unsent ones are not sent any more
  };
  void receive(std::string_view bytes);
  void tick();
  void on_events(std::vector<smpp::Event>& events);
  void on_response(smpp::Pdu& pdu);
  // Records the outcome of the part that was sent under this sequence number.
  void part_ended(std::uint32_t sequence, relay::Ending ending);
  // Sends unsent parts as long as the window has capacity.
  void send_parts(relay::CallId id, Out& out);
  // Reports the call's outcome once no part of it is outstanding.
  void end_if_over(relay::CallId id);
  // Whether a request may be sent now.
  bool takes_more() const;
  void flush();
  void rearm();

  loop::Loop& loop_;
  const config::RelaySettings& settings_;
  const config::PartnerEndpoint endpoint_;
  const config::SmppBack kind_;
  const pool::LinkId id_;
  back::Driver& driver_;
  std::function<void(const std::string&)> log_;
  smpp::Session session_;
  std::unique_ptr<net::Stream> stream_;
  std::map<relay::CallId, Out> out_;
  std::map<std::uint32_t, relay::CallId> call_of_;  // by sequence
  std::uint16_t reference_ = 0;
  loop::TimerId timer_ = 0;
  Time timer_at_ = 0;
  std::uint64_t odd_ = 0;  // invalid PDUs and unmatched responses; only the first is logged
  bool closing_ = false, gone_ = false;
};

}  // namespace cedarplank::sms
