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
    Compared.push_back(Watch);
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
std::shared_ptr<store_watch> store_pulse::nextWatch() {
  for (std::size_t Tried = 0; Tried < Compared.size(); ++Tried) {
    const auto &Watch = Compared[Turn++ % Compared.size()];
    if (Watch->revision())
      return Watch;
  }
  return nullptr;
}

void store_pulse::beat() {
  const auto Watch = nextWatch();
  if (!Watch) {
    schedule();
    return;
  }
  const instant SentAt = readClock();
  Client->call(
      platform::watchRequest(Watch->kind(), *Watch->revision(), NoWait, true),
      Settings.Timeout,
      [Weak = weak_from_this(), Watch, SentAt](const store_answer &Answer) {
        if (const auto Self = Weak.lock())
          Self->onAnswer(Watch, SentAt, Answer);
      });
}

void store_pulse::onAnswer(const std::shared_ptr<store_watch> &Watch,
                           instant SentAt, const store_answer &Answer) {
  schedule();
  const auto Events = Answer.Status == store_status::Done
                          ? platform::decodeEvents(Answer.Body)
                          : std::nullopt;
  if (Answer.Status == store_status::HistoryGone) {
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
}

} // namespace lentilhoist
