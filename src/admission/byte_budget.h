#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace lentilhoist {

/// Bytes that may be held at a time by holders that wait for each other. What
/// is larger than the limit is held alone.
struct byte_budget {
  std::size_t Limit = 0; ///< 0: no limit.
  std::size_t Held = 0;
  std::function<void()> OnReleased{}; ///< Told of each release; may be empty.
};

/// \param Budget the budget.
/// \param Bytes bytes to hold in addition.
/// \returns whether there is room for them.
inline bool hasRoom(const byte_budget &Budget, std::size_t Bytes) {
  return Budget.Limit == 0 || Budget.Held == 0 ||
         (Budget.Held <= Budget.Limit && Bytes <= Budget.Limit - Budget.Held);
}

/// A part of a budget, released when the charge is destroyed or assigned to.
class byte_charge {
public:
  byte_charge() = default;
  /// Charges bytes whether or not there is room.
  /// \param Of the budget; kept as long as the charge.
  /// \param Bytes the number of bytes.
  byte_charge(std::shared_ptr<byte_budget> Of, std::size_t Bytes)
      : Budget(std::move(Of)), Charged(Bytes) {
    Budget->Held += Charged;
  }
  byte_charge(byte_charge &&Other) noexcept
      : Budget(std::exchange(Other.Budget, nullptr)), Charged(Other.Charged) {}
  byte_charge &operator=(byte_charge &&Other) noexcept {
    byte_charge Former(std::move(*this));
    Budget = std::exchange(Other.Budget, nullptr);
    Charged = Other.Charged;
    return *this;
  }
  ~byte_charge() {
    if (!Budget)
      return;
    Budget->Held -= Charged;
    if (Budget->OnReleased)
      Budget->OnReleased();
  }

  /// \returns whether anything is charged.
  explicit operator bool() const { return Budget != nullptr; }

private:
  std::shared_ptr<byte_budget> Budget; ///< Null if nothing is charged.
  std::size_t Charged = 0;
};

} // namespace lentilhoist
