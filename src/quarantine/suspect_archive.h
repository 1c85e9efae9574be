#pragma once

#include "quarantine/suspect_table.h"

#include <string>

namespace lentilhoist {

/// Encodes the newest evidence for the disk.
/// \param Table the evidence.
/// \param Now the current time; ages are kept relative to its wall clock.
/// \returns the encoded evidence; empty if there is none.
std::string packSuspects(const suspect_table &Table, instant Now);

/// Merges evidence from the disk.
/// \param Table the table; updated.
/// \param Bytes the encoded evidence.
/// \param Now the current time.
/// \throws std::exception if Bytes is malformed.
void unpackSuspects(suspect_table &Table, const std::string &Bytes,
                    instant Now);

} // namespace lentilhoist
