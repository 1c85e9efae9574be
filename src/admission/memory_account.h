#pragma once

#include <array>
#include <cstddef>

namespace lentilhoist {

/// What bytes that a process holds for others are held for.
enum class memory_purpose {
  Heads,           ///< Request heads and bytes that are not parsed yet.
  ReceivingBodies, ///< Reserved for request bodies that are being received.
  WaitingBodies,   ///< Bodies of requests in progress.
  Responses,       ///< Bytes of responses that callers have not taken yet.
  Tunnels,         ///< Bytes that wait in tunnels of other instances.
  Chains,          ///< Earlier turns of requests in progress.
  Outputs,         ///< Outputs of turns, until they are stored.
};
inline constexpr std::size_t MemoryPurposes = 7;

/// \param Purpose the value to name.
/// \returns its stable text form.
const char *memoryPurposeName(memory_purpose Purpose);

/// Bytes that a process holds for others, by purpose.
struct memory_account {
  std::size_t Limit = 0; ///< Of all purposes together; 0: no limit.
  std::array<std::size_t, MemoryPurposes> Bytes{};
};

/// \param Account the account.
/// \returns the bytes charged for all purposes together.
std::size_t chargedBytes(const memory_account &Account);

/// Part of an account that is used by heads and small bodies only, so that
/// ordinary requests are served beside large bodies: 1/N of the limit.
inline constexpr std::size_t SmallReserveDivisor = 8;

/// \param Account the account.
/// \param Bytes bytes to charge in addition.
/// \param Large whether they are for a large body, which leaves the reserve to
/// others. A large body that is the only body may use the whole account.
/// \returns whether there is room for them.
bool hasRoom(const memory_account &Account, std::size_t Bytes, bool Large);

/// A part of an account, released when the charge is destroyed.
class memory_charge {
public:
  /// \param Account must outlive the charge.
  /// \param Purpose what the bytes are held for.
  memory_charge(memory_account &Account, memory_purpose Purpose)
      : Account(Account), Purpose(Purpose) {}
  ~memory_charge() { set(0); }
  memory_charge(const memory_charge &) = delete;
  memory_charge &operator=(const memory_charge &) = delete;

  /// Changes the charge whether or not there is room.
  /// \param Now the new number of bytes.
  void set(std::size_t Now);

  /// Raises the charge if there is room.
  /// \param Least the number of bytes to have charged; fewer than charged now
  /// change nothing.
  /// \param Large as for hasRoom().
  /// \returns whether at least so many are charged.
  bool raise(std::size_t Least, bool Large);

  std::size_t bytes() const { return Charged; }

private:
  memory_account &Account;
  memory_purpose Purpose;
  std::size_t Charged = 0;
};

/// Makes the allocator return large blocks to the system when they are freed.
/// By default glibc raises its threshold with each large block that is freed,
/// after which the memory of request bodies stays with the process.
void returnFreedMemory();

} // namespace lentilhoist
