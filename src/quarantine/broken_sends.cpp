#include "quarantine/broken_sends.h"

namespace lentilhoist {

void recordBroken(broken_sends &Broken, const std::string &Runner,
                  std::int64_t BornMs, const broken_send &Send) {
  std::vector<broken_send> &Sends = Broken.ByRunner[{Runner, BornMs}];
  if (Sends.size() < MaxBrokenSends)
    Sends.push_back(Send);
}

std::vector<request_signature> confirmCrash(broken_sends &Broken,
                                            suspect_table &Table,
                                            const std::string &Runner,
                                            std::int64_t BornMs, instant Now) {
  std::vector<request_signature> Signatures;
  const auto Found = Broken.ByRunner.find({Runner, BornMs});
  if (Found == Broken.ByRunner.end())
    return Signatures;
  for (const broken_send &Send : Found->second)
    if (Now.Steady - Send.BrokenAt.Steady < MaxConfirmationDelay &&
        recordCrash(Table, Send.Signature,
                    {Runner, BornMs, Send.BrokenAt, Send.Early}, Now))
      Signatures.push_back(Send.Signature);
  Broken.ByRunner.erase(Found);
  return Signatures;
}

void dropUnconfirmed(broken_sends &Broken, instant Now) {
  std::erase_if(Broken.ByRunner, [&](const auto &Item) {
    return Item.second.empty() ||
           Now.Steady - Item.second.back().BrokenAt.Steady >=
               MaxConfirmationDelay;
  });
}

} // namespace lentilhoist
