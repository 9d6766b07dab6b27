#include "platform/exchange.hpp"

#include <utility>

namespace cedarplank::platform {
namespace {
constexpr Time kConnectTimeout = 1'000'000;
}

Exchange::Exchange(loop::Loop& loop, const std::string& address, http1::Bounds bounds)
    : loop_(loop), address_(address), bounds_(bounds) {}

Exchange::~Exchange() { drop(); }

void Exchange::drop() {
  loop_.cancel(timer_), timer_ = 0;
  done_ = nullptr;
  if (!stream_) return;
  stream_->close();
  loop_.defer([keep = std::move(stream_)] {});  // one of its callbacks may be running now
  stream_.reset();
}

void Exchange::move_to(const std::string& address) {
  drop();
  address_ = address;
}

void Exchange::connect() {
  reader_ = http1::Reader(http1::Reader::Side::responses, bounds_);
  used_ = false;
  stream_ = std::make_shared<net::TcpStream>(
      loop_, net::Address::parse(address_), kConnectTimeout,
      net::Stream::Handlers{.connected = {},
                            .data =
                                [this](std::string_view bytes) {
                                  if (!done_) return drop();  // unsolicited: the connection is unusable
                                  const auto taken = reader_.take(bytes);
                                  if (reader_.state() == http1::Reader::State::broken)
                                    return end(nullptr, reader_.problem());
                                  if (reader_.state() != http1::Reader::State::complete) return;
                                  const http1::Message answer = std::move(reader_.message());
                                  const bool keep = taken == bytes.size() && !answer.close;
                                  reader_.next();
                                  used_ = true;
                                  auto done = std::exchange(done_, nullptr);
                                  loop_.cancel(timer_), timer_ = 0;
                                  if (!keep) drop();
                                  done(&answer, {});
                                },
                            .drained = {},
                            .closed = [this](const std::string& why) { lost(why); }});
}

void Exchange::ask(std::string_view method, std::string_view target, std::string_view body, Time within,
                   Done done) {
  done_ = std::move(done);
  request_ = http1::request(method, target, address_, {}, body);
  if (!stream_) connect();
  stream_->write(request_);
  timer_ = loop_.after(within, [this] {
    timer_ = 0;
    end(nullptr, "no answer in time");
  });
}

void Exchange::lost(const std::string& why) {
  if (stream_) loop_.defer([keep = std::move(stream_)] {});
  stream_.reset();
  if (!done_) return;
  const bool stale = used_ && reader_.state() == http1::Reader::State::waiting;
  reader_.end();
  if (reader_.state() == http1::Reader::State::complete) {
    const http1::Message answer = std::move(reader_.message());
    auto done = std::exchange(done_, nullptr);
    loop_.cancel(timer_), timer_ = 0;
    return done(&answer, {});
  }
  if (!stale) return end(nullptr, why);
  // The connection was closed while idle, which shows only now: sends the request again on a new one. All
  // requests made here may be repeated.
  connect();
  stream_->write(request_);
}

void Exchange::end(const http1::Message* answer, const std::string& why) {
  auto done = std::exchange(done_, nullptr);
  drop();
  if (done) done(answer, why);
}

}  // namespace cedarplank::platform
