#include "experiment/engine_model.h"

#include <algorithm>
#include <cmath>

namespace lentilhoist {

engine_model::engine_model(const engine_model_settings &Given)
    : Settings(Given) {}

bool engine_model::add(engine_work Work, instant Now) {
  if (Waiting.size() >= static_cast<std::size_t>(Settings.QueueLimit))
    return false;
  item Item;
  Item.Work = std::move(Work);
  Item.Arrived = Now;
  Waiting.push_back(std::move(Item));
  return true;
}

void engine_model::cancel(std::uint64_t Id) {
  std::erase_if(Waiting, [&](const item &Item) { return Item.Work.Id == Id; });
  std::erase_if(Running, [&](const item &Item) {
    if (Item.Work.Id != Id)
      return false;
    RunningTokens -= Item.Reserved;
    return true;
  });
}

void engine_model::keep(const prompt_part &Part) {
  const auto [Found, Added] = Parts.try_emplace(Part.Id);
  if (!Added) {
    Uses.splice(Uses.begin(), Uses, Found->second.Place);
    return;
  }
  Uses.push_front(Part.Id);
  Found->second = {Part.Tokens, Uses.begin()};
  PartTokens += Part.Tokens;
}

void engine_model::makeRoom() {
  while (PartTokens + RunningTokens > Settings.MemoryTokens && !Uses.empty()) {
    const auto Oldest = Parts.find(Uses.back());
    PartTokens -= Oldest->second.Tokens;
    Parts.erase(Oldest);
    Uses.pop_back();
  }
}

void engine_model::admit(instant Now) {
  while (Running.size() < static_cast<std::size_t>(Settings.Slots) &&
         !Waiting.empty() &&
         Now.Steady - Waiting.front().Arrived.Steady >= Settings.FirstMs) {
    item Item = std::move(Waiting.front());
    Waiting.pop_front();
    bool Prefix = true;
    for (const prompt_part &Part : Item.Work.Prompt) {
      Prefix = Prefix && Parts.contains(Part.Id);
      (Prefix ? Kept : Item.Unread) += Part.Tokens;
      keep(Part);
    }
    Read += Item.Unread;
    Item.Reserved = Item.Work.OutputTokens;
    RunningTokens += Item.Reserved;
    makeRoom();
    Running.push_back(std::move(Item));
  }
}

engine_step engine_model::step(instant Now) {
  engine_step Step;
  if (!busy())
    return Step;
  admit(Now);
  if (Running.empty()) { // The first in the queue is not ready yet.
    Step.End = later(Waiting.front().Arrived, Settings.FirstMs);
    return Step;
  }
  std::int64_t Chunk = Settings.ChunkTokens;
  double Ms = Settings.StepMs +
              Settings.StepGrowthMs * static_cast<double>(Running.size() - 1);
  std::vector<item *> Generating;
  for (item &Item : Running) {
    const std::int64_t Part = std::min(Chunk, Item.Unread);
    Item.Unread -= Part;
    Chunk -= Part;
    Ms += static_cast<double>(Part) / Settings.PrefillTokensPerMs;
    if (Item.Unread == 0)
      Generating.push_back(&Item);
  }
  Step.End = later(Now, microseconds(std::llround(Ms * Multiple * 1e3)));
  for (item *Item : Generating) {
    if (++Item->Made == 1)
      Step.FirstToken.push_back(Item->Work.Id);
    if (Item->Made >= Item->Work.OutputTokens)
      Step.Finished.push_back(Item->Work.Id);
  }
  for (const std::uint64_t Id : Step.Finished)
    cancel(Id);
  Samples.push_back({Step.End, loadNow()});
  while (Samples.size() > 1 &&
         Samples[1].Time.Steady <= Step.End.Steady - Settings.ReportLag)
    Samples.pop_front();
  return Step;
}

load_report engine_model::loadNow() const {
  return {static_cast<int>(Running.size()), static_cast<int>(Waiting.size()),
          Settings.Slots};
}

load_report engine_model::report(instant Now) const {
  load_report Load{0, 0, Settings.Slots};
  for (const load_sample &Sample : Samples)
    if (Sample.Time.Steady <= Now.Steady - Settings.ReportLag)
      Load = Sample.Load;
  return Load;
}

} // namespace lentilhoist
