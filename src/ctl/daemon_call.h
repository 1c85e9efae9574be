#pragma once

#include "http/http_client.h"
#include "operator/rpc_dispatcher.h"

#include <string>

namespace lentilhoist {

/// The daemon could not be reached, sent no sound response or did not accept
/// the token.
class no_answer : public rpc_failure {
public:
  using rpc_failure::rpc_failure;
};

/// Sends a JSON-RPC request to an instance.
/// \param Daemon its operator address.
/// \param Body the request.
/// \param Token the shared token.
/// \returns the body of the response.
/// \throws no_answer
std::string callMethod(const endpoint &Daemon, const std::string &Body,
                       const std::string &Token);

/// Reads a page of a daemon that serves no methods.
/// \param Daemon the address of the page.
/// \param Path the page.
/// \returns its text.
/// \throws no_answer
std::string readPage(const endpoint &Daemon, const std::string &Path);

} // namespace lentilhoist
