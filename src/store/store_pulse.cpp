#include "store/store_pulse.h"

#include "log/log.h"

#include <algorithm>

namespace lentilhoist {

namespace {

/// The shortest wait of a watch call: the store answers at once.
constexpr milliseconds NoWait{1};

} // namespace

store_pulse::store_pulse(asio::io_context &Loop, const std::string &Address,
                         pulse_settings GivenSettings)
    : Client(std::make_shared<store_client>(Loop, Address)),
      Settings(GivenSettings), Timer(Loop) {}

void store_pulse::follow(std::shared_ptr<store_watch> Watch,
                         pulse_scope Scope) {
  if (Scope == pulse_scope::Changes)
    ComparedWatches.push_back({Watch});
  Watches.push_back(std::move(Watch));
}

void store_pulse::start() { schedule(); }

void store_pulse::schedule() {
  Timer.expires_after(Settings.Interval);
  Timer.async_wait([Weak = weak_from_this()](const asio::error_code &Error) {
    const auto Self = Weak.lock();
    if (Self && !Error)
      Self->beat();
  });
}

/// \returns the next watch that has listed its objects; null if none has. One
/// that has not is asking the store already.
store_pulse::compared_watch *store_pulse::nextWatch() {
  for (std::size_t Tried = 0; Tried < ComparedWatches.size(); ++Tried) {
    compared_watch &Next = ComparedWatches[Turn++ % ComparedWatches.size()];
    if (Next.Watch->revision())
      return &Next;
  }
  return nullptr;
}

void store_pulse::beat() {
  compared_watch *Next = nextWatch();
  if (Next == nullptr) {
    schedule();
    return;
  }
  const instant SentAt = readClock();
  Next->Seen = std::max(Next->Seen, *Next->Watch->revision());
  Client->call(
      platform::watchRequest(Next->Watch->kind(), Next->Seen, NoWait, true),
      Settings.Timeout,
      [Weak = weak_from_this(), Next, SentAt](const store_answer &Answer) {
        if (const auto Self = Weak.lock())
          Self->onAnswer(*Next, SentAt, Answer);
      });
}

void store_pulse::onAnswer(compared_watch &Compared, instant SentAt,
                           const store_answer &Answer) {
  schedule();
  const std::shared_ptr<store_watch> &Watch = Compared.Watch;
  const auto Events = Answer.Status == store_status::Done
                          ? platform::decodeEvents(Answer.Body)
                          : std::nullopt;
  if (Answer.Status == store_status::HistoryGone) {
    Compared.Seen = 0;
    Watch->check(SentAt, "history_gone");
    return;
  }
  if (!Events) {
    for (const auto &Followed : Watches)
      Followed->check(SentAt, "silence");
    return;
  }
  const bool Missed =
      std::any_of(Events->Events.begin(), Events->Events.end(),
                  [&](const store_event &Event) {
                    return Event.Item.Revision > Watch->revision().value_or(0);
                  });
  if (Missed)
    Watch->check(SentAt, "missed_change");
  else
    Compared.Seen = std::max(Compared.Seen, Events->Revision);
}

} // namespace lentilhoist
