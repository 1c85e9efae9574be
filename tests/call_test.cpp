#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "call/answer_channel.h"
#include "call/caller_request.h"
#include "call/token_hub.h"

#include <doctest/doctest.h>

using namespace lentilhoist;

namespace {

std::string drain(answer_channel &Channel) {
  std::string Text;
  while (auto Item = Channel.pop(std::chrono::milliseconds(0)))
    Text += std::get<answer_text>(*Item).Text;
  return Text;
}

} // namespace

TEST_CASE(
    "decodeRequest restores encoded requests and rejects malformed bytes") {
  call_request Call;
  Call.Program = {1, 2};
  Call.Call = 3;
  Call.Body = "body";
  const owner_request Request = decodeRequest(encodeRequest(Call));
  CHECK(std::get<call_request>(Request).Body == "body");
  CHECK(programOf(Request) == program_id{1, 2});
  const result_request Result{Call, {}};
  CHECK(programOf(decodeRequest(encodeRequest(Result))) == program_id{1, 2});
  CHECK_THROWS_AS(decodeRequest("\x92\x63\xc0"), std::invalid_argument);
  CHECK_THROWS_AS(decodeRequest(""), std::invalid_argument);
}

TEST_CASE("token_hub sends a late listener the text from its start") {
  token_hub Hub;
  const program_id Program{0, 1};
  const auto First = std::make_shared<answer_channel>();
  const auto Second = std::make_shared<answer_channel>();
  Hub.attach(Program, 1, First);
  Hub.beginAttempt(Program, "x");
  Hub.addText(Program, "x", "ab");
  Hub.attach(Program, 2, Second);
  Hub.addText(Program, "x", "cd");
  Hub.addText(Program, "old attempt", "zz");
  CHECK(drain(*First) == "abcd");
  CHECK(drain(*Second) == "abcd");
  Hub.detach(Program, 1);
  Hub.addText(Program, "x", "ef");
  CHECK(drain(*First).empty());
  CHECK(drain(*Second) == "ef");
}
