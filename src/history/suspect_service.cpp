#include "history/suspect_service.h"

#include <algorithm>

namespace lentilhoist {

bool exchangeSuspects(suspect_table &Table, const replica_request &Request,
                      replica_reply &Reply, instant Now) {
  std::vector<suspect_notice> Notices = Request.Suspects;
  Notices.resize(std::min(Notices.size(), MaxListedSuspects));
  const bool Changed = mergeSuspects(Table, Notices, Now);
  Reply.Suspects =
      listSuspects(Table, MaxListedSuspects, MinListedCrashes, Now);
  return Changed;
}

void answerSuspect(const suspect_table &Table, request_signature Signature,
                   replica_reply &Reply, instant Now) {
  const auto Found = Table.Suspects.find(Signature);
  if (Signature == 0 || Found == Table.Suspects.end())
    return;
  suspect_table Only;
  Only.Suspects.insert(*Found);
  Reply.Suspects = listSuspects(Only, 1, 0, Now);
}

} // namespace lentilhoist
