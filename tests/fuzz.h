#pragma once

#include <cstdlib>
#include <doctest/doctest.h>
#include <exception>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace lentilhoist {

/// \param Name name of an environment variable.
/// \param Default value if it is not set.
/// \returns its value as a number.
inline std::uint64_t fuzzSetting(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

/// Damages bytes: cuts, repeats, removes or replaces a part of them, or puts
/// in bytes that announce long values in MessagePack and JSON.
inline std::string damageBytes(std::string Bytes, std::mt19937_64 &Random) {
  static const std::vector<std::string> Inserts{
      "\xdd\xff\xff\xff\xff",
      "\xdf\xff\xff\xff\xff",
      "\xdb\xff\xff\xff\xff",
      "\xcf\xff\xff\xff\xff\xff\xff\xff\xff",
      "\xd3\x80",
      "\xc0",
      "\xc1",
      std::string(200, '\x91'),
      std::string(200, '['),
      "{\"\":",
      "-1",
      "1e999",
      "null",
      "\"\\u0000\"",
      "99999999999999999999",
      "\r\n",
      "\n\n",
      "\r\n\r\n",
      "Content-Length: 18446744073709551616\r\n",
      "ffffffffffffffff\r\n"};
  const auto Below = [&](std::size_t Limit) {
    return static_cast<std::size_t>(Random() % (Limit + 1));
  };
  for (std::size_t Change = Below(3) + 1; Change > 0; --Change) {
    const std::size_t At = Below(Bytes.size());
    const std::size_t Length =
        Below(std::min<std::size_t>(8, Bytes.size() - At));
    switch (Random() % 6) {
    case 0:
      Bytes.resize(At);
      break;
    case 1:
      Bytes.erase(At, Length);
      break;
    case 2:
      Bytes.insert(At, Bytes.substr(At, Length));
      break;
    case 3:
      Bytes.insert(At, Inserts[Random() % Inserts.size()]);
      break;
    case 4:
      Bytes.replace(At, Length, Inserts[Random() % Inserts.size()]);
      break;
    default:
      for (std::size_t Index = At; Index < At + Length; ++Index)
        Bytes[Index] = static_cast<char>(Random());
    }
  }
  return Bytes;
}

/// Feeds damaged copies of valid inputs to a decoder, which may accept them or
/// throw a std::exception other than std::bad_alloc. LENTILHOIST_FUZZ_ROUNDS
/// and LENTILHOIST_FUZZ_SEED lengthen and vary the run.
/// \param Inputs valid inputs.
/// \param Decode the decoder.
inline void fuzz(const std::vector<std::string> &Inputs,
                 const std::function<void(const std::string &)> &Decode) {
  const std::uint64_t Rounds = fuzzSetting("LENTILHOIST_FUZZ_ROUNDS", 2'000);
  const std::uint64_t Seed = fuzzSetting("LENTILHOIST_FUZZ_SEED", 1);
  for (std::uint64_t Round = 0; Round < Rounds; ++Round) {
    std::mt19937_64 Random(Seed * 1'000'003 + Round);
    const std::string Bytes =
        damageBytes(Inputs[Random() % Inputs.size()], Random);
    try {
      Decode(Bytes);
    } catch (const std::bad_alloc &) {
      INFO("seed " << Seed << ", round " << Round);
      FAIL("the decoder tried to allocate too much memory");
    } catch (const std::exception &) {
      // Rejected, as it should be.
    }
  }
}

} // namespace lentilhoist
