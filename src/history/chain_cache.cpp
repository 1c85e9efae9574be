#include "history/chain_cache.h"

namespace lentilhoist {

void chain_cache::put(const std::string &Turn, std::string Text) {
  if (!fits(Text.size()) || Index.contains(Turn))
    return;
  Bytes += Text.size();
  Entries.push_front({Turn, std::move(Text)});
  Index[Turn] = Entries.begin();
  while (Bytes > MaxBytes) {
    Bytes -= Entries.back().Text.size();
    Index.erase(Entries.back().Turn);
    Entries.pop_back();
  }
}

const std::string *chain_cache::find(const std::string &Turn) {
  const auto Found = Index.find(Turn);
  if (Found == Index.end())
    return nullptr;
  Entries.splice(Entries.begin(), Entries, Found->second);
  return &Found->second->Text;
}

} // namespace lentilhoist
