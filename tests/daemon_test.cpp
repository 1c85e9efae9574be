#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "caller/stream_writer.h"

#include <doctest/doctest.h>

using namespace lentilhoist;

namespace {

call_answer makeAnswer(const std::string &Content) {
  call_answer Answer;
  Answer.Body = R"([{"content":")" + Content + R"(","role":"assistant"}])";
  Answer.CommittedThrough = 2;
  return Answer;
}

} // namespace

TEST_CASE("text is sent once and the rest with the end") {
  stream_writer Writer;
  CHECK(Writer.addText({1, 0, "ab"}).find("\"ab\"") != std::string::npos);
  const std::string End = Writer.finish(makeAnswer("abcd"));
  CHECK(End.find("\"cd\"") != std::string::npos);
  CHECK(End.find("\"ab\"") == std::string::npos);
  CHECK(End.find("\"committed_through\":2") != std::string::npos);
  CHECK(End.find("[DONE]") != std::string::npos);
}

TEST_CASE("a stream that is attached to again does not repeat itself") {
  stream_writer Writer;
  (void)Writer.addText({1, 0, "abc"});
  CHECK(Writer.addText({2, 0, "ab"}).empty());
  const std::string Events = Writer.addText({2, 2, "cd"});
  CHECK(Events.find("\"d\"") != std::string::npos);
  CHECK(Events.find("restarted") == std::string::npos);
}

TEST_CASE("an attempt with other text says that it starts anew") {
  stream_writer Writer;
  (void)Writer.addText({1, 0, "abc"});
  const std::string Events = Writer.addText({2, 0, "xyz"});
  CHECK(Events.find("restarted") != std::string::npos);
  CHECK(Events.find("\"xyz\"") != std::string::npos);
}

TEST_CASE("text out of place is left out and comes with the end") {
  stream_writer Writer;
  (void)Writer.addText({1, 0, "ab"});
  CHECK(Writer.addText({1, 5, "zz"}).empty());
  CHECK(Writer.finish(makeAnswer("abcd")).find("\"cd\"") != std::string::npos);
}

TEST_CASE("errors say whether the request ran") {
  call_answer Answer;
  Answer.Code = error_code::Overloaded;
  Answer.Run = run_state::NotRun;
  Answer.Body = "bad \xff byte";
  const std::string Json = describeError(Answer);
  CHECK(Json.find("\"code\":\"overloaded\"") != std::string::npos);
  CHECK(Json.find("\"run\":\"not_run\"") != std::string::npos);
}
