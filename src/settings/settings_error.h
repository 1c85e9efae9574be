#pragma once

#include <stdexcept>

namespace lentilhoist {

/// Settings that can't be used; the message names file, line and what was
/// expected.
class settings_error : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

} // namespace lentilhoist
