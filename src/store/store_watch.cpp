#include "store/store_watch.h"

#include "core/hash.h"
#include "log/log.h"
#include "log/log_limit.h"

#include <algorithm>

namespace lentilhoist {

namespace {

/// \returns the milliseconds between two times, "-1" if the first is unset.
std::string formatElapsed(instant Then, instant Now) {
  if (Then.Steady.count() == 0)
    return "-1";
  return std::to_string((Now.Steady - Then.Steady).count() / 1000);
}

} // namespace

store_watch::store_watch(asio::io_context &Loop, const std::string &Address,
                         std::string GivenKind, watch_settings GivenSettings)
    : Client(std::make_shared<store_client>(Loop, Address)),
      Kind(std::move(GivenKind)), Settings(GivenSettings), Timer(Loop),
      RetryDelay(GivenSettings.MinRetryDelay) {}

void store_watch::start(handlers Given) {
  Handlers = std::move(Given);
  listOrWatch();
}

void store_watch::stop() {
  Stopped = true;
  Timer.cancel();
  Client->close();
}

void store_watch::refresh() {
  if (!Listed || Stopped)
    return;
  Listed = false;
  LongPolling = false;
  Client->close();
  scheduleNext(Settings.MinRetryDelay);
}

void store_watch::listOrWatch() {
  if (Stopped)
    return;
  if (Listed) {
    watch();
    return;
  }
  Pages.clear();
  list("");
}

void store_watch::send(const platform::store_request &Call,
                       milliseconds Timeout, store_client::on_answer OnAnswer) {
  CallSentAt = readClock();
  Client->call(Call, Timeout, std::move(OnAnswer));
}

void store_watch::list(const std::string &After) {
  send(platform::listRequest(Kind, After, Settings.AllowStale),
       Settings.ListTimeout,
       [Weak = weak_from_this(), After](const store_answer &Answer) {
         const auto Self = Weak.lock();
         if (!Self || Self->Stopped)
           return;
         const auto Page = Answer.Status == store_status::Done
                               ? platform::decodePage(Answer.Body)
                               : std::nullopt;
         if (!Page) {
           Self->onFailure(Answer.Status);
           return;
         }
         Self->reportUnreadable(Page->Unreadable);
         if (After.empty())
           Self->FirstPageRevision = Page->Revision;
         Self->Pages.insert(Self->Pages.end(), Page->Items.begin(),
                            Page->Items.end());
         if (Page->Truncated && !Page->Items.empty()) {
           Self->list(Page->Items.back().Name);
           return;
         }
         // Start the watch at the first page's revision, so that it
         // covers changes made while the later pages were read.
         Self->Revision = Self->FirstPageRevision;
         Self->Listed = true;
         Self->onSuccess();
         Self->Handlers.OnList(Self->Pages);
         Self->Pages.clear();
         Self->scheduleNext(milliseconds(0));
       });
}

void store_watch::check(instant SentBefore, const char *Reason) {
  if (Stopped || !LongPolling || CallSentAt.Steady >= SentBefore.Steady)
    return;
  logEvent(log_level::Info, "store_watch_checked",
           {{"kind", Kind},
            {"reason", Reason},
            {"call_ms", formatElapsed(CallSentAt, readClock())}});
  Client->close();
  sendWatch(std::min(Settings.Wait, Settings.RecoveryWait));
}

void store_watch::watch() {
  sendWatch(Available ? Settings.Wait
                      : std::min(Settings.Wait, Settings.RecoveryWait));
}

void store_watch::sendWatch(milliseconds Wait) {
  LongPolling = Wait > Settings.RecoveryWait;
  send(platform::watchRequest(Kind, Revision, Wait, Settings.AllowStale),
       Wait + Settings.AnswerSlack,
       [Weak = weak_from_this()](const store_answer &Answer) {
         const auto Self = Weak.lock();
         if (!Self || Self->Stopped)
           return;
         if (Answer.Status == store_status::HistoryGone) {
           Self->Listed = false;
           Self->listOrWatch();
           return;
         }
         const auto Events = Answer.Status == store_status::Done
                                 ? platform::decodeEvents(Answer.Body)
                                 : std::nullopt;
         if (!Events) {
           Self->onFailure(Answer.Status);
           return;
         }
         Self->reportUnreadable(Events->Unreadable);
         Self->Revision = std::max(Self->Revision, Events->Revision);
         Self->onSuccess();
         for (const store_event &Event : Events->Events)
           Self->Handlers.OnEvent(Event);
         Self->scheduleNext(Events->Events.empty() ? milliseconds(0)
                                                   : Self->Settings.BatchDelay);
       });
}

void store_watch::reportUnreadable(std::size_t Count) const {
  if (Count > 0)
    logLimited(log_level::Warning, "store_objects_unreadable",
               {{"kind", Kind}, {"count", std::to_string(Count)}});
}

void store_watch::onSuccess() {
  const instant Now = readClock();
  RetryDelay = Settings.MinRetryDelay;
  Failures = 0;
  ConfirmedAt = Now;
  if (Handlers.OnConfirmed)
    Handlers.OnConfirmed();
  if (Available)
    return;
  Available = true;
  logEvent(log_level::Info, "store_regained",
           {{"kind", Kind}, {"lost_ms", formatElapsed(LostAt, Now)}});
  Handlers.OnAvailability(true);
}

void store_watch::onFailure(store_status Status) {
  ++Failures;
  if (Available) {
    const instant Now = readClock();
    Available = false;
    LostAt = Now;
    logEvent(log_level::Warning, "store_lost",
             {{"kind", Kind},
              {"status", storeStatusName(Status)},
              {"call_ms", formatElapsed(CallSentAt, Now)},
              {"confirmed_ms", formatElapsed(ConfirmedAt, Now)}});
    Handlers.OnAvailability(false);
  }
  // Jitter between half and the full delay keeps instances from retrying
  // simultaneously.
  const auto Jitter =
      stableHash(Kind, Failures ^ reinterpret_cast<std::uintptr_t>(this));
  const auto Half = RetryDelay.count() / 2;
  scheduleNext(
      milliseconds(Half + static_cast<std::int64_t>(
                              Jitter % static_cast<std::uint64_t>(Half + 1))));
  RetryDelay = std::min(RetryDelay * 2, Settings.MaxRetryDelay);
}

void store_watch::scheduleNext(milliseconds Delay) {
  Timer.expires_after(Delay);
  Timer.async_wait([Weak = weak_from_this()](const asio::error_code &Error) {
    const auto Self = Weak.lock();
    if (Self && !Error)
      Self->listOrWatch();
  });
}

} // namespace lentilhoist
