#pragma once

#include "history/history_link.h"
#include "replica/replica_store.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lentilhoist {

/// Fetches records that this replica missed from the other replicas. A record
/// is acknowledged once a quorum has it; whoever wrote it may be gone before
/// the others have it.
///
/// Each replica lists its records in the order in which it received them. A
/// complete replica reads these lists as they grow and fetches what it lacks,
/// together with turns that a turn it holds continues.
class replica_repair {
public:
  using link_provider = std::function<history_link &(const std::string &)>;

  /// \param Store the replica's records; must outlive this object.
  /// \param LinkTo returns the connection to a replica.
  replica_repair(replica_store &Store, link_provider LinkTo)
      : Store(Store), LinkTo(std::move(LinkTo)) {}

  /// Asks each other replica that is not being asked already.
  /// \param Set the replica set.
  /// \param Address address of this replica.
  /// \param Now the current time.
  void run(const replica_set &Set, const std::string &Address, instant Now);

  /// \returns the number of records fetched so far.
  std::size_t repairedRecords() const { return Repaired; }

private:
  /// A turn that this replica lacks and that another one did not have.
  struct absent_turn {
    instant NotBefore{}; ///< It is not asked for before this time.
    milliseconds Delay{};
  };
  /// Progress with one other replica.
  struct source {
    std::uint64_t Run = 0;    ///< Run of that replica; 0 if not known yet.
    std::uint64_t Cursor = 0; ///< Its records up to here are held.
    bool Busy = false;        ///< A step is in progress.
    bool Fetches = false;     ///< That step is to fetch records, not to list.
    std::uint64_t Steps = 0;  ///< Replies to earlier steps are ignored.
    instant AskedAt{};
    instant NotBefore{}; ///< It is not asked before this time.
    std::map<std::string, absent_turn> Absent; ///< By id.
  };

  replica_request request(replica_operation Operation) const;
  void send(const std::string &Address, replica_request Request,
            std::function<void(const replica_reply &)> OnReply);
  void list(const std::string &Address);
  void fetchListed(const std::string &Address, replica_reply List);
  void fetchLackedTurns(const std::string &Address);
  void addFetched(const std::string &Address, const replica_reply &Reply,
                  std::function<void()> OnDurable);
  bool claimFetching(const std::string &Address, instant Now);

  replica_store &Store;
  link_provider LinkTo;
  std::uint64_t SetVersion = 0;
  std::map<std::string, source> Sources; ///< By address.
  /// The replica that records are fetched from, one at a time: what one lists,
  /// most others list too.
  std::string Fetching;
  std::size_t Repaired = 0;
};

} // namespace lentilhoist
