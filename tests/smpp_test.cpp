// Tests of SMPP PDUs and texts: hand-made wire vectors from the specification for every command, properties
// of random input, and invalid lengths.
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "smpp/pdu.hpp"
#include "smpp/text.hpp"

namespace cedarplank::smpp {

std::ostream& operator<<(std::ostream& out, const DecodeError& w) { return out << w.status << ' ' << w.what; }

namespace {

std::string bytes(const std::string& hex) {
  std::string out, digits;
  for (const char c : hex)
    if (std::isxdigit(static_cast<unsigned char>(c))) digits += c;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
    out += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
  return out;
}

struct Vector {
  const char* hex;
  Pdu pdu;
};

Message hello() {
  Message m;
  m.service_type = "CMT", m.source = {1, 1, "2782"}, m.destination = {2, 8, "555"};
  m.esm_class = 3, m.priority = 1, m.schedule = "000001000000000R", m.registered_delivery = 1,
  m.text = "Hello";
  return m;
}

// Header: command_length, command_id, command_status, sequence_number.
std::vector<Vector> vectors() {
  Message with_tlvs = hello();
  with_tlvs.schedule.clear();
  with_tlvs.tlvs = {make_tlv(tag::user_message_reference, 0x0102, 2),
                    {tag::receipted_message_id, bytes("6d3100")}};
  Multi multi;
  multi.message = with_tlvs, multi.message.destination = {}, multi.message.tlvs.clear();
  multi.recipients.resize(2);
  multi.recipients[0].address = {1, 1, "5"};
  multi.recipients[1].list = "all";
  std::vector<Vector> all;
  const auto add = [&](const char* hex, Command command, Status state, std::uint32_t sequence, Body body) {
    all.push_back({hex, {command, state, sequence, std::move(body)}});
  };
  add("00000021 00000009 00000000 00000001  656e6100 7077 00 534d5300 34 01 02 5e3100",
      Command::bind_transceiver, 0, 1, Bind{"ena", "pw", "SMS", 0x34, {1, 2, "^1"}});
  add("00000018 00000001 00000000 00000002  6100 00 00 34 00 00 00", Command::bind_receiver, 0, 2,
      Bind{"a", "", "", 0x34, {}});
  add("00000019 00000002 00000000 00000003  6100 6200 00 34 00 00 00", Command::bind_transmitter, 0, 3,
      Bind{"a", "b", "", 0x34, {}});
  add("00000018 80000009 00000000 00000001  736300 0210 0001 34", Command::bind_transceiver_resp, 0, 1,
      BindResp{"sc", {make_tlv(tag::sc_interface_version, 0x34, 1)}});
  add("00000012 80000001 00000000 00000002  7300", Command::bind_receiver_resp, 0, 2, BindResp{"s", {}});
  add("00000010 80000002 0000000d 00000003", Command::bind_transmitter_resp, status::bind_failed, 3,
      BindResp{});
  add("00000014 0000000b 00000000 00000001  7300 7000", Command::outbind, 0, 1, Outbind{"s", "p"});
  add("00000010 00000006 00000000 00000004", Command::unbind, 0, 4, Empty{});
  add("00000010 80000006 00000000 00000004", Command::unbind_resp, 0, 4, Empty{});
  add("00000010 00000015 00000000 00000005", Command::enquire_link, 0, 5, Empty{});
  add("00000010 80000015 00000000 00000005", Command::enquire_link_resp, 0, 5, Empty{});
  add("00000010 80000000 00000003 00000000", Command::generic_nack, status::invalid_command, 0, Empty{});
  add("00000040 00000004 00000000 00000006  434d5400 01 01 3237383200 02 08 35353500 03 00 01"
      "30303030303130303030303030303052 00 00 01 00 00 00 05 48656c6c6f",
      Command::submit_sm, 0, 6, hello());
  add("0000003d 00000005 00000000 00000007  434d5400 01 01 3237383200 02 08 35353500 03 00 01 00 00 01 00 00 "
      "00"
      "05 48656c6c6f 0204 0002 0102 001e 0003 6d3100",
      Command::deliver_sm, 0, 7, with_tlvs);
  add("00000013 80000004 00000000 00000006  6d3100", Command::submit_sm_resp, 0, 6, MessageResp{"m1", {}});
  add("00000010 80000004 00000058 00000006", Command::submit_sm_resp, status::throttled, 6, MessageResp{});
  add("00000011 80000005 00000000 00000007  00", Command::deliver_sm_resp, 0, 7, MessageResp{});
  add("00000035 00000021 00000000 00000008  434d5400 01 01 3237383200 02 01 01 01 3500 02 616c6c00 03 00 01 "
      "00 00 01"
      "00 00 00 05 48656c6c6f",
      Command::submit_multi, 0, 8, multi);
  add("0000001c 80000021 00000000 00000008  6d3100 01 01 01 3500 0000000b", Command::submit_multi_resp, 0, 8,
      MultiResp{"m1", {{{1, 1, "5"}, status::invalid_destination}}, {}});
  add("00000022 00000103 00000000 00000009  00 01 01 3100 01 01 3200 00 01 00 0424 0002 6869",
      Command::data_sm, 0, 9, Data{"", {1, 1, "1"}, {1, 1, "2"}, 0, 1, 0, {{tag::message_payload, "hi"}}});
  add("00000018 80000103 00000000 00000009  6d3100 0425 0001 02", Command::data_sm_resp, 0, 9,
      MessageResp{"m1", {make_tlv(tag::delivery_failure_reason, 2, 1)}});
  add("00000018 80000103 000000fe 00000009  6d3100 0425 0001 02", Command::data_sm_resp,
      status::delivery_failure, 9, MessageResp{"m1", {make_tlv(tag::delivery_failure_reason, 2, 1)}});
  add("00000017 00000003 00000000 0000000a  6d3100 01 01 3100", Command::query_sm, 0, 10,
      Query{"m1", {1, 1, "1"}});
  add("00000016 80000003 00000000 0000000a  6d3100 00 02 00", Command::query_sm_resp, 0, 10,
      QueryResp{"m1", "", 2, 0});
  add("0000001c 00000008 00000000 0000000b  00 6d3100 01 01 3100 01 01 3200", Command::cancel_sm, 0, 11,
      Cancel{"", "m1", {1, 1, "1"}, {1, 1, "2"}});
  add("00000010 80000008 00000011 0000000b", Command::cancel_sm_resp, status::cancel_failed, 11, Empty{});
  add("0000001e 00000007 00000000 0000000c  6d3100 01 01 3100 00 00 01 00 02 6869", Command::replace_sm, 0,
      12, Replace{"m1", {1, 1, "1"}, "", "", 1, 0, "hi"});
  add("00000010 80000007 00000000 0000000c", Command::replace_sm_resp, 0, 12, Empty{});
  add("0000001d 00000102 00000000 0000000d  01 01 3100 02 02 3200 0422 0001 01", Command::alert_notification,
      0, 13, Alert{{1, 1, "1"}, {2, 2, "2"}, {make_tlv(tag::ms_availability_status, 1, 1)}});
  return all;
}

void same(const Pdu& a, const Pdu& b) {
  EXPECT_EQ(a.command, b.command);
  EXPECT_EQ(a.status, b.status);
  EXPECT_EQ(a.sequence, b.sequence);
  EXPECT_TRUE(a.body == b.body) << name_of(a.command);
}

TEST(SmppPdu, EveryCommandByItsVector) {
  std::set<Command> seen;
  for (const auto& v : vectors()) {
    SCOPED_TRACE(name_of(v.pdu.command));
    const std::string wire = bytes(v.hex);
    std::string out;
    encode(v.pdu, out);
    EXPECT_EQ(out, wire);
    const auto read = decode(wire);
    ASSERT_TRUE(std::holds_alternative<Pdu>(read)) << std::get<DecodeError>(read);
    same(std::get<Pdu>(read), v.pdu);
    seen.insert(v.pdu.command);
  }
  EXPECT_EQ(seen.size(), 27u);
}

// A PDU that is truncated or has changed bytes is either decoded as it stands or rejected, and is never read
// beyond its end. Encoding what was decoded gives the same bytes.
TEST(SmppPdu, CutAndChangedBytesAreRefusedOrReadAsTheyAre) {
  std::mt19937 random(5);
  std::size_t refused = 0, read = 0;
  const auto attempt = [&](std::string wire) {
    for (int i = 0; i < 4; i++)
      wire[static_cast<std::size_t>(i)] = static_cast<char>(wire.size() >> (24 - 8 * i));
    const auto got = decode(wire);
    if (std::holds_alternative<DecodeError>(got)) {
      EXPECT_NE(std::get<DecodeError>(got).status, status::ok);
      EXPECT_FALSE(std::get<DecodeError>(got).what.empty());
      refused++;
      return;
    }
    read++;
    const auto& pdu = std::get<Pdu>(got);
    std::string out;
    encode(pdu, out);
    if (out.size() == wire.size()) {
      EXPECT_EQ(out, wire);
    } else {
      EXPECT_TRUE(is_response(pdu.command)) << "only fields that responses may leave out differ";
    }
  };
  for (const auto& v : vectors()) {
    const std::string wire = bytes(v.hex);
    for (std::size_t n = kHeaderSize; n < wire.size(); n++) attempt(wire.substr(0, n));
    for (int i = 0; i < 2'000; i++) {
      std::string changed = wire;
      for (std::size_t n = 0; n <= random() % 3; n++)
        changed[4 + random() % (changed.size() - 4)] = static_cast<char>(random());
      attempt(changed);
    }
  }
  EXPECT_GT(refused, 10'000u);
  EXPECT_GT(read, 5'000u);
}

TEST(SmppPdu, WhatIsWrongIsNamedWithTheStatusToAnswer) {
  const auto refusal = [](const std::string& hex) {
    const auto got = decode(bytes(hex));
    return std::holds_alternative<DecodeError>(got) ? std::get<DecodeError>(got) : DecodeError{};
  };
  EXPECT_EQ(refusal("00000010 00000077 00000000 00000001").status, status::invalid_command);
  EXPECT_EQ(refusal("00000010 00000004 00000000").status, status::invalid_command_length);
  EXPECT_EQ(refusal("00000011 00000015 00000000 00000001 00").status, status::invalid_command_length);
  // A system_id of 16 characters without a NUL within its bound; a message longer than the remaining bytes.
  const auto long_id = refusal("00000022 00000001 00000000 00000001 61616161616161616161616161616161 00 00");
  EXPECT_EQ(long_id.status, status::invalid_system_id);
  EXPECT_NE(long_id.what.find("system_id is longer"), std::string::npos);
  EXPECT_EQ(refusal("00000023 00000004 00000000 00000001 00 0000 00 0000 00 000000 00 00 00 00 00 00 06 6869")
                .status,
            status::invalid_message_length);
  EXPECT_EQ(refusal("00000014 80000009 00000000 00000001  00 021000").status, status::invalid_tlv_stream);
  EXPECT_EQ(refusal("00000017 80000009 00000000 00000001  00 0210 0002 3400").status,
            status::invalid_tlv_length);
}

TEST(SmppPdu, WhatDoesNotFitIsNotSent) {
  std::string out = "before";
  Message m;
  m.text.assign(255, 'x');
  EXPECT_THROW(encode({Command::submit_sm, 0, 1, m}, out), std::invalid_argument);
  m.text.clear(), m.source.digits.assign(21, '1');
  EXPECT_THROW(encode({Command::submit_sm, 0, 1, m}, out), std::invalid_argument);
  EXPECT_THROW(encode({Command::submit_sm, 0, 1, Empty{}}, out), std::invalid_argument);
  EXPECT_THROW(encode({Command::outbind, 0, 1, Outbind{std::string("a\0b", 3), ""}}, out),
               std::invalid_argument);
  EXPECT_EQ(out, "before");
}

TEST(SmppFramer, CutsStreamsAnywhereAndRefusesLengthsOutOfBounds) {
  std::string stream;
  const auto all = vectors();
  for (const auto& v : all) stream += bytes(v.hex);
  for (const std::size_t step : {std::size_t{1}, std::size_t{7}, stream.size()}) {
    Framer framer;
    std::size_t n = 0;
    for (std::size_t at = 0; at < stream.size(); at += step) {
      framer.receive(std::string_view(stream).substr(at, step));
      while (const auto pdu = framer.next()) EXPECT_EQ(*pdu, bytes(all[n++].hex));
    }
    EXPECT_EQ(n, all.size());
    EXPECT_EQ(framer.buffered(), 0u);
  }
  for (const char* hex : {"ffffffff", "0000000f", "00000000", "00100000"}) {
    Framer framer;
    framer.receive(bytes(hex));
    EXPECT_FALSE(framer.next());
    EXPECT_TRUE(framer.failed()) << hex;
  }
}

TEST(SmppText, EachCharacterOfTheAlphabetsComesBack) {
  std::string septets;
  for (int i = 0; i < 128; i++)
    if (i != 0x1b) septets += static_cast<char>(i);
  const auto text = decode_text(septets, Coding::gsm7);
  ASSERT_TRUE(text);
  EXPECT_EQ(*encode_text(*text, Coding::gsm7), septets);
  EXPECT_EQ(*encode_text("[€]", Coding::gsm7), bytes("1b3c 1b65 1b3e"));
  EXPECT_EQ(*decode_text(bytes("1b65 1b41 1b1b"), Coding::gsm7), "€A ");
  EXPECT_FALSE(encode_text("ł", Coding::gsm7));
  EXPECT_EQ(*encode_text("é", Coding::latin1), "\xe9");
  EXPECT_FALSE(encode_text("€", Coding::latin1));
  EXPECT_EQ(*encode_text("a€😀", Coding::ucs2), bytes("0061 20ac d83d de00"));
  EXPECT_EQ(*decode_text(bytes("0061 20ac d83d de00"), Coding::ucs2), "a€😀");
  EXPECT_FALSE(decode_text(bytes("d83d"), Coding::ucs2));
  EXPECT_FALSE(decode_text(bytes("00"), Coding::ucs2));
  EXPECT_FALSE(decode_text("\x80", Coding::gsm7));
  EXPECT_FALSE(encode_text("\xff", Coding::ucs2));
  EXPECT_EQ(shortest_coding("plain"), Coding::gsm7);
  EXPECT_EQ(shortest_coding("naïve"), Coding::latin1);
  EXPECT_EQ(shortest_coding("złoty"), Coding::ucs2);
  EXPECT_FALSE(shortest_coding("\xc3"));
}

// Random texts in every alphabet, with every way of splitting; parts arrive in any order and some twice.
TEST(SmppText, LongMessagesComeBackWhole) {
  std::mt19937 random(9);
  const std::vector<std::string> letters = {"a", "Z", "€", "[", "é", "\n", "😀", "ł"};
  for (int round = 0; round < 600; round++) {
    const Coding coding = std::vector{Coding::gsm7, Coding::latin1, Coding::ucs2}[random() % 3];
    std::string text;
    const std::size_t kinds = coding == Coding::gsm7 ? 6 : coding == Coding::latin1 ? 2 : 8;
    for (auto n = random() % 900; n > 0; n--) text += letters[random() % kinds];
    const auto encoded = encode_text(text, coding);
    ASSERT_TRUE(encoded);
    const Split how = std::vector{Split::udh, Split::sar, Split::payload}[random() % 3];
    auto parts = split_message({}, *encoded, coding, how, static_cast<std::uint16_t>(random() % 256));
    std::shuffle(parts.begin(), parts.end(), random);
    if (parts.size() > 2) parts.insert(parts.begin(), parts[1]);
    MessageAssembler assembly;
    std::optional<std::string> whole;
    for (const auto& part : parts) {
      EXPECT_LE(part.text.size(), coding == Coding::gsm7 ? 160u : 140u);
      std::string wire;
      encode({Command::submit_sm, 0, 1, part}, wire);
      const auto got = parse_text(std::get<Message>(std::get<Pdu>(decode(wire)).body));
      EXPECT_TRUE(decode_text(got.text, coding)) << "a character was split";
      if (!got.part)
        whole = got.text;
      else if (auto all = assembly.add("x", *got.part, got.text))
        whole = all;
    }
    ASSERT_TRUE(whole);
    EXPECT_EQ(*decode_text(*whole, coding), text);
  }
}

TEST(SmppText, HeadersThatLieAreRefusedAndUnfinishedMessagesAreBounded) {
  Message m;
  m.esm_class = 0x40;
  for (const char* hex :
       {"", "05", "05 00 03 01 02", "05 00 07 01 02 01 41", "05 00 03 01 02 00 41", "05 00 03 01 02 03 41"}) {
    m.text = bytes(hex);
    EXPECT_THROW(parse_text(m), std::invalid_argument) << hex;
  }
  m.text = bytes("06 08 04 01 02 03 02 41");
  const auto got = parse_text(m);
  EXPECT_EQ(got.text, "A");
  EXPECT_EQ(got.part->reference, 0x0102);
  EXPECT_EQ(got.part->number, 2);
  EXPECT_EQ(got.part->total, 3);
  MessageAssembler heavy(10, 1'000);
  for (int i = 0; i < 100; i++) {
    heavy.add("x", {static_cast<std::uint16_t>(i), 1, 2}, std::string(300, 'x'));
    EXPECT_LE(heavy.bytes(), 1'000u);
  }
  EXPECT_EQ(heavy.incomplete_count(), 3u);
  MessageAssembler assembly(10);
  for (int i = 0; i < 1'000; i++) assembly.add("x", {static_cast<std::uint16_t>(i), 1, 2}, "half");
  EXPECT_EQ(assembly.incomplete_count(), 10u);
  EXPECT_FALSE(assembly.add("y", {999, 2, 2}, "other"));  // another sender's
  EXPECT_EQ(*assembly.add("x", {999, 2, 2}, "+half"), "half+half");
}

}  // namespace
}  // namespace cedarplank::smpp
