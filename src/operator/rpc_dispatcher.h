#pragma once

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>

namespace lentilhoist {

/// An operator's request that can't be carried out; the message says why.
class rpc_failure : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Answers JSON-RPC 2.0 requests. Kept to C++14, which the headers of
/// libjsonrpccpp need, behind an interface of plain strings.
class rpc_dispatcher {
public:
  /// Takes parameters as a JSON object, returns a result as JSON.
  using method = std::function<std::string(const std::string &)>;

  rpc_dispatcher();
  ~rpc_dispatcher();
  rpc_dispatcher(const rpc_dispatcher &) = delete;
  rpc_dispatcher &operator=(const rpc_dispatcher &) = delete;

  /// \param Name the method's name.
  /// \param Run carries it out; throws rpc_failure if it can't.
  void addMethod(const std::string &Name, method Run);

  /// \param Request a JSON-RPC request.
  /// \returns the JSON-RPC response.
  std::string handle(const std::string &Request);

private:
  class implementation;
  std::unique_ptr<implementation> Implementation;
};

/// Makes JSON-RPC 2.0 requests over any transport.
class rpc_client {
public:
  /// Sends a request and returns the response.
  using transport = std::function<std::string(const std::string &)>;

  /// \param Send the transport.
  explicit rpc_client(transport Send);

  /// \param Method the method's name.
  /// \param Parameters the parameters as a JSON object.
  /// \returns the result as JSON.
  /// \throws rpc_failure if the server refuses or the transport fails.
  std::string call(const std::string &Method, const std::string &Parameters);

private:
  transport Send;
};

} // namespace lentilhoist
