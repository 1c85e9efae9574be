#pragma once

#include "call/answer_sink.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace lentilhoist {

/// Part of an answer's text, sent while the answer is generated.
struct answer_text {
  std::uint32_t Attempt = 0; ///< A higher number restarts the text.
  std::uint64_t Offset = 0;  ///< Position in the attempt's text, in bytes.
  std::string Text;
};

/// Item of a channel: a part of the text, or the final answer.
using answer_item = std::variant<answer_text, call_answer>;

/// Unbounded queue from the threads that produce an answer to the thread that
/// serves the caller.
class answer_channel : public answer_sink {
public:
  void addText(std::uint32_t Attempt, std::uint64_t Offset,
               std::string_view Text) override {
    push(answer_text{Attempt, Offset, std::string(Text)});
  }

  void finish(const call_answer &Answer) override { push(Answer); }

  /// Waits for the next item and removes it.
  /// \param Timeout maximum wait.
  /// \returns the item, or nothing if the wait timed out.
  std::optional<answer_item> pop(std::chrono::milliseconds Timeout) {
    std::unique_lock Lock(Mutex);
    if (!ItemAvailable.wait_for(Lock, Timeout, [&] { return !Items.empty(); }))
      return std::nullopt;
    answer_item Item = std::move(Items.front());
    Items.pop_front();
    return Item;
  }

private:
  void push(answer_item Item) {
    {
      const std::lock_guard Lock(Mutex);
      Items.push_back(std::move(Item));
    }
    ItemAvailable.notify_one();
  }

  std::mutex Mutex;
  std::condition_variable ItemAvailable;
  std::deque<answer_item> Items;
};

} // namespace lentilhoist
