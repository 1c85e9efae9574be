#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace lentilhoist {

/// Digest of an API key (BLAKE2b).
using key_digest = std::array<unsigned char, 32>;

/// \param Key the plain key.
/// \returns a digest that is the same in every process and stands for the key
/// wherever the configuration is stored.
key_digest portableDigest(std::string_view Key);

/// \param Portable a portable digest.
/// \returns the digest that keys are compared by. It is keyed with random bytes
/// of this process, so that the time of a lookup reveals nothing about a key.
key_digest keyedDigest(const key_digest &Portable);

/// \param Key the plain key.
/// \returns the digest that keys are compared by.
key_digest digestOfKey(std::string_view Key);

/// \param Digest a portable digest.
/// \returns its text form, hexadecimal digits.
std::string formatDigest(const key_digest &Digest);

/// \param Text what formatDigest() has returned.
/// \returns the digest, or nothing if the text is malformed.
std::optional<key_digest> parseDigest(const std::string &Text);

/// Compares in constant time.
/// \param Left a digest.
/// \param Right another.
/// \returns whether they are equal.
bool sameDigest(const key_digest &Left, const key_digest &Right);

/// Overwrites a text that contains a plain key, and empties it.
/// \param Text the text.
void wipeText(std::string &Text);

/// The key that a request carries.
struct sent_key {
  bool Sent = false; ///< The request carries one, also a malformed one.
  std::optional<key_digest> Digest; ///< Nothing if it is malformed.
};

} // namespace lentilhoist
