#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "call/answer_channel.h"
#include "fuzz.h"
#include "instance/peer_link.h"
#include "instance/peer_message.h"

#include <doctest/doctest.h>

using namespace lentilhoist;

namespace {

constexpr std::chrono::milliseconds LongWait{20'000};

member_identity identityOf(const peer_link &Link) {
  return {"peer", "127.0.0.1", Link.port(), "d", "r"};
}

call_answer waitAnswer(answer_channel &Channel, std::string &Text) {
  for (;;) {
    const auto Item = Channel.pop(LongWait);
    REQUIRE(Item);
    if (const auto *Part = std::get_if<answer_text>(&*Item))
      Text += Part->Text;
    else
      return std::get<call_answer>(*Item);
  }
}

void ignoreOffer(shard_index) {}

} // namespace

TEST_CASE("frames survive the wire and bad ones are rejected") {
  peer_message Message;
  Message.Kind = peer_kind::Text;
  Message.Stream = 9;
  Message.Payload = "abc";
  const std::string Frame = encodeFrame(Message);
  const peer_message Read =
      decodeFrame(std::string_view(Frame).substr(FrameHeaderBytes));
  CHECK(Read.Payload == "abc");
  CHECK(Read.Stream == 9);
  CHECK_THROWS_AS(decodeFrame("\xc1"), std::invalid_argument);
  CHECK_THROWS_AS(decodeFrame(""), std::invalid_argument);
}

TEST_CASE("a request is answered over the link") {
  peer_link Server(
      {},
      [](const owner_request &, const auto &Sink) {
        Sink->addText(1, 0, "hello ");
        Sink->addText(1, 6, "world");
        call_answer Answer;
        Answer.CommittedThrough = 4;
        Sink->finish(Answer);
      },
      ignoreOffer);
  Server.start();
  peer_link Client(
      {}, [](const auto &, const auto &) {}, ignoreOffer);
  Client.start();
  const auto Channel = std::make_shared<answer_channel>();
  Client.send(identityOf(Server), history_request{{0, 1}}, Channel);
  std::string Text;
  CHECK(waitAnswer(*Channel, Text).CommittedThrough == 4);
  CHECK(Text == "hello world");
}

// Guards against one answer that ends the link, and with it all requests that
// wait on it: the largest answer did not fit a frame.
TEST_CASE("the largest answer passes the link, and one above a frame fails "
          "alone") {
  std::shared_ptr<answer_sink> Waiting;
  std::size_t Bytes = MaxAnswerBytes;
  bool Fits = true;
  SUBCASE("the largest answer") {}
  SUBCASE("a history above a frame") {
    Bytes = MaxFrameBytes;
    Fits = false;
  }
  peer_link Server(
      {},
      [&](const owner_request &, const auto &Sink) {
        if (!Waiting) {
          Waiting = Sink;
          return;
        }
        call_answer Large;
        Large.Body.assign(Bytes, 'x');
        Sink->finish(Large);
        call_answer Small;
        Small.CommittedThrough = 4;
        Waiting->finish(Small);
      },
      ignoreOffer);
  Server.start();
  peer_link Client(
      {}, [](const auto &, const auto &) {}, ignoreOffer);
  Client.start();
  const auto First = std::make_shared<answer_channel>();
  const auto Second = std::make_shared<answer_channel>();
  Client.send(identityOf(Server), history_request{{0, 1}}, First);
  Client.send(identityOf(Server), history_request{{0, 2}}, Second);
  std::string Text;
  const call_answer Large = waitAnswer(*Second, Text);
  CHECK(Large.Code == (Fits ? error_code::None : error_code::Internal));
  CHECK((Large.Body.size() == Bytes) == Fits);
  const call_answer Small = waitAnswer(*First, Text);
  CHECK(Small.Code == error_code::None);
  CHECK(Small.CommittedThrough == 4);
}

TEST_CASE("a peer that is not there is reported so that the request is routed "
          "anew") {
  peer_link Client(
      {}, [](const auto &, const auto &) {}, ignoreOffer);
  Client.start();
  const auto Channel = std::make_shared<answer_channel>();
  Client.send({"gone", "127.0.0.1", 1, "d", "r"}, history_request{{0, 1}},
              Channel);
  std::string Text;
  const call_answer Answer = waitAnswer(*Channel, Text);
  CHECK(Answer.Code == error_code::NotOwner);
  CHECK(Answer.Run == run_state::OutcomeUnknown);
}

TEST_CASE("a wrong token is refused") {
  std::atomic<int> Requests{0};
  peer_link_settings Settings;
  Settings.Token = "right";
  peer_link Server(
      Settings, [&](const auto &, const auto &) { ++Requests; }, ignoreOffer);
  Server.start();
  peer_link_settings Wrong;
  Wrong.Token = "wrong";
  peer_link Client(
      Wrong, [](const auto &, const auto &) {}, ignoreOffer);
  Client.start();
  const auto Channel = std::make_shared<answer_channel>();
  Client.send(identityOf(Server), history_request{{0, 1}}, Channel);
  std::string Text;
  CHECK(waitAnswer(*Channel, Text).Code == error_code::NotOwner);
  CHECK(Requests == 0);
}

TEST_CASE("a connection that falls silent is given up") {
  asio::io_context Context;
  asio::ip::tcp::acceptor Mute(
      Context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  peer_link_settings Settings;
  Settings.Heartbeat = std::chrono::milliseconds(50);
  Settings.Silence = std::chrono::milliseconds(200);
  peer_link Client(
      Settings, [](const auto &, const auto &) {}, ignoreOffer);
  Client.start();
  const auto Channel = std::make_shared<answer_channel>();
  Client.send({"mute", "127.0.0.1", Mute.local_endpoint().port(), "d", "r"},
              history_request{{0, 1}}, Channel);
  std::string Text;
  CHECK(waitAnswer(*Channel, Text).Code == error_code::NotOwner);
}

TEST_CASE("damaged frames and requests of peers are rejected") {
  peer_message Message;
  Message.Kind = peer_kind::Text;
  Message.Payload = "abc";
  fuzz({encodeFrame(Message).substr(FrameHeaderBytes)},
       [](const std::string &Bytes) { decodeFrame(Bytes); });
  call_request Call;
  Call.Body = "[]";
  create_request Create;
  Create.Tenant = "t";
  fuzz({encodeRequest(Call), encodeRequest(Create)},
       [](const std::string &Bytes) { decodeRequest(Bytes); });
}
