#include "daemon/request_router.h"

#include "decision/call_flow.h"
#include "decision/shard_placement.h"

#include <thread>

namespace lentilhoist {

namespace {

constexpr milliseconds RetryDelay{10};
constexpr std::chrono::milliseconds PopWait{1'000};
constexpr seconds LongestWait{3'600};
/// Attempts of one send; a later send numbers its attempts after them.
constexpr std::uint32_t AttemptsPerSend = 1U << 16U;

std::vector<std::string> candidateNames(const membership &View) {
  std::vector<std::string> Names;
  for (const member_identity &Member : ownerCandidates(View))
    Names.push_back(Member.Id);
  return Names;
}

} // namespace

request_router::request_router(const daemon_settings &GivenSettings,
                               membership_node &GivenMembers,
                               peer_link &GivenLink, scheduler &GivenLocal)
    : Settings(GivenSettings), Members(GivenMembers), Link(GivenLink),
      Local(GivenLocal) {}

void request_router::send(const owner_request &Request, const std::string &Hint,
                          std::shared_ptr<answer_sink> Sink) {
  const auto View = Members.view();
  const shard_index Shard = programOf(Request).Shard;
  std::string Owner = Hint;
  if (Owner.empty() || !isAlive(Owner, *View))
    Owner = chooseOwner(Shard, candidateNames(*View));
  const auto Member = findMember(Owner, *View);
  if (!Member || Owner == Settings.Identity.Id)
    Local.submit(Request, Sink);
  else
    Link.send(*Member, Request, std::move(Sink));
}

shard_index request_router::chooseShard() {
  const auto View = Members.view();
  const auto Names = candidateNames(*View);
  const std::uint32_t Start = NextShard++;
  for (std::uint32_t Step = 0; Step < Settings.Shards; ++Step) {
    const auto Shard =
        static_cast<shard_index>((Start + Step) % Settings.Shards);
    if (chooseOwner(Shard, Names) == Settings.Identity.Id)
      return Shard;
  }
  return static_cast<shard_index>(Start % Settings.Shards);
}

routed_request::routed_request(request_router &GivenRouter,
                               owner_request GivenRequest)
    : Router(GivenRouter), Request(std::move(GivenRequest)),
      SearchUntil(readClock().Steady + Router.routeWait()) {
  send(std::string());
}

void routed_request::send(const std::string &Hint) {
  ++Sends;
  Channel = std::make_shared<answer_channel>();
  Router.send(Request, Hint, Channel);
}

bool routed_request::mayRetry(const call_answer &Answer) const {
  return Answer.Code == error_code::NotOwner &&
         readClock().Steady < SearchUntil;
}

std::optional<answer_item> routed_request::accept(answer_item Item) {
  if (auto *Text = std::get_if<answer_text>(&Item)) {
    SearchUntil = readClock().Steady + Router.routeWait();
    Text->Attempt += Sends * AttemptsPerSend;
    return Item;
  }
  const call_answer &Answer = std::get<call_answer>(Item);
  if (!mayRetry(Answer))
    return Item;
  std::this_thread::sleep_for(RetryDelay);
  send(Answer.Owner);
  return std::nullopt;
}

answer_item routed_request::next() {
  const auto Until = readClock().Steady + LongestWait;
  while (readClock().Steady < Until) {
    auto Item = Channel->pop(PopWait);
    if (!Item)
      continue;
    if (auto Accepted = accept(std::move(*Item)))
      return *Accepted;
  }
  call_answer Late =
      makeErrorAnswer(error_code::Timeout, "the owner did not answer");
  Late.Run = run_state::OutcomeUnknown;
  return Late;
}

call_answer routed_request::wait(std::chrono::milliseconds Timeout) {
  const auto Until = readClock().Steady + Timeout;
  while (readClock().Steady < Until) {
    auto Item = Channel->pop(PopWait);
    if (!Item)
      continue;
    const auto Accepted = accept(std::move(*Item));
    if (Accepted && std::holds_alternative<call_answer>(*Accepted))
      return std::get<call_answer>(*Accepted);
  }
  call_answer Late =
      makeErrorAnswer(error_code::Timeout, "the owner did not answer");
  Late.Run = run_state::OutcomeUnknown;
  return Late;
}

} // namespace lentilhoist
