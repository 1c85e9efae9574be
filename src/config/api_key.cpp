#include "config/api_key.h"

#include <sodium.h>
#include <stdexcept>

namespace lentilhoist {

namespace {

using process_key = std::array<unsigned char, crypto_generichash_KEYBYTES>;

process_key makeProcessKey() {
  if (sodium_init() < 0)
    throw std::runtime_error("libsodium cannot be initialized");
  process_key Key;
  crypto_generichash_keygen(Key.data());
  return Key;
}

const process_key &processKey() {
  static const process_key Key = makeProcessKey();
  return Key;
}

} // namespace

key_digest portableDigest(std::string_view Key) {
  key_digest Digest;
  crypto_generichash(Digest.data(), Digest.size(),
                     reinterpret_cast<const unsigned char *>(Key.data()),
                     Key.size(), nullptr, 0);
  return Digest;
}

key_digest keyedDigest(const key_digest &Portable) {
  const process_key &Key = processKey();
  key_digest Digest;
  crypto_generichash(Digest.data(), Digest.size(), Portable.data(),
                     Portable.size(), Key.data(), Key.size());
  return Digest;
}

key_digest digestOfKey(std::string_view Key) {
  return keyedDigest(portableDigest(Key));
}

std::string formatDigest(const key_digest &Digest) {
  std::string Text(Digest.size() * 2 + 1, '\0');
  sodium_bin2hex(Text.data(), Text.size(), Digest.data(), Digest.size());
  Text.pop_back();
  return Text;
}

std::optional<key_digest> parseDigest(const std::string &Text) {
  key_digest Digest;
  std::size_t Length = 0;
  const char *End = nullptr;
  if (Text.size() != Digest.size() * 2 ||
      sodium_hex2bin(Digest.data(), Digest.size(), Text.data(), Text.size(),
                     nullptr, &Length, &End) != 0 ||
      Length != Digest.size() || End != Text.data() + Text.size())
    return std::nullopt;
  return Digest;
}

bool sameDigest(const key_digest &Left, const key_digest &Right) {
  return sodium_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

void wipeText(std::string &Text) {
  sodium_memzero(Text.data(), Text.size());
  Text.clear();
}

} // namespace lentilhoist
