#include "platform/http_client.hpp"

#include <utility>

namespace cedarplank::platform {
namespace {
// As long as a call may wait at the service. Covers a second connection request, which systems send after 1
// s.
constexpr Time kConnectTimeout = 2'000'000;
}  // namespace

HttpClient::HttpClient(loop::Loop& loop, const std::string& address, http1::Bounds bounds)
    : loop_(loop), address_(address), bounds_(bounds) {}

HttpClient::~HttpClient() { cancel(); }

void HttpClient::cancel() {
  on_answer_ = nullptr;
  if (!stream_) return;
  stream_->close();
  loop_.defer([keep = std::move(stream_)] {});  // one of its callbacks may be running now
  stream_.reset();
}

void HttpClient::set_address(const std::string& address) {
  cancel();
  address_ = address;
}

void HttpClient::open_ahead() {
  if (stream_) return;
  connect();
  opened_ahead_ = true;
}

void HttpClient::connect() {
  reader_ = http1::Parser(http1::Parser::Side::responses, bounds_);
  stream_ = std::make_shared<net::TcpStream>(
      loop_, net::Address::parse(address_), kConnectTimeout,
      net::Stream::Handlers{.connected = {},
                            .data = [this](std::string_view bytes) { handle_data(bytes); },
                            .drained = {},
                            .closed = [this](const std::string& why) { handle_close(why); }});
}

void HttpClient::handle_data(std::string_view bytes) {
  if (!on_answer_) return cancel();  // unsolicited: the connection is unusable
  reader_.consume(bytes);
  if (reader_.state() == http1::Parser::State::broken) return finish(nullptr, reader_.problem());
  if (reader_.state() == http1::Parser::State::complete) complete(std::move(reader_.message()));
}

void HttpClient::complete(http1::Message answer) {
  auto done = std::exchange(on_answer_, nullptr);
  cancel();
  done(&answer, {});
  if (!stream_) connect();
  opened_ahead_ = !busy();
}

void HttpClient::send(std::string_view method, std::string_view target, std::string_view body,
                      AnswerHandler done) {
  on_answer_ = std::move(done);
  request_ = http1::build_request(method, target, address_, {}, body);
  if (!stream_) connect(), opened_ahead_ = false;
  stream_->write(request_);
}

void HttpClient::handle_close(const std::string& why) {
  if (stream_) loop_.defer([keep = std::move(stream_)] {});
  stream_.reset();
  if (!on_answer_) return;
  const bool stale = opened_ahead_ && reader_.state() == http1::Parser::State::waiting;
  reader_.end_of_input();
  if (reader_.state() == http1::Parser::State::complete) return complete(std::move(reader_.message()));
  if (!stale) return finish(nullptr, why);
  // The connection was closed while idle, which shows only now: sends the request again on a new one. All
  // requests made here may be repeated.
  connect();
  opened_ahead_ = false;
  stream_->write(request_);
}

void HttpClient::finish(const http1::Message* answer, const std::string& why) {
  auto done = std::exchange(on_answer_, nullptr);
  cancel();
  if (done) done(answer, why);
}

}  // namespace cedarplank::platform
