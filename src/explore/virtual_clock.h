#pragma once

#include "core/instant.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace lentilhoist {

/// Virtual time: events run in the order of their times, and of their making
/// where the times are equal.
class virtual_clock {
public:
  /// \param Delay from now.
  /// \param Event what to run.
  void after(microseconds Delay, std::function<void()> Event) {
    Events.emplace(std::make_pair(Now + Delay, NextOrder++), std::move(Event));
  }

  /// Runs the next event.
  /// \returns whether there was one.
  bool step() {
    if (Events.empty())
      return false;
    auto Next = Events.extract(Events.begin());
    Now = Next.key().first;
    Next.mapped()();
    return true;
  }

  /// \returns the present time; the wall clock starts at an arbitrary date.
  instant now() const {
    constexpr milliseconds WallStart{1'700'000'000'000};
    return later({microseconds(0), WallStart}, Now);
  }

private:
  microseconds Now{0};
  std::uint64_t NextOrder = 0;
  std::map<std::pair<microseconds, std::uint64_t>, std::function<void()>>
      Events;
};

/// Random choices that are equal on every platform.
class chooser {
public:
  explicit chooser(std::uint64_t Seed) : Random(Seed) {}

  /// \returns a number from 0 up to but not including Bound.
  std::uint64_t below(std::uint64_t Bound) { return Random() % Bound; }

  /// \returns whether an event of this chance in a thousand happens.
  bool chance(std::uint64_t PerThousand) { return below(1'000) < PerThousand; }

  /// \returns a time between the two.
  microseconds between(microseconds Least, microseconds Most) {
    const auto Span = static_cast<std::uint64_t>((Most - Least).count()) + 1;
    return Least + microseconds(static_cast<std::int64_t>(below(Span)));
  }

  /// \returns a fresh seed.
  std::uint64_t seed() { return Random(); }

private:
  std::mt19937_64 Random;
};

} // namespace lentilhoist
