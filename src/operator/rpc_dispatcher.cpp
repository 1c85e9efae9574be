#include "operator/rpc_dispatcher.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace lentilhoist {

namespace {

/// Code of errors that the methods themselves report (JSON-RPC 2.0, section
/// 5.1, server errors).
constexpr int MethodFailedCode = -32000;

std::string writeJson(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Value);
}

Json::Value readJson(const std::string &Text) {
  Json::CharReaderBuilder Builder;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Value;
  std::string Errors;
  if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Value, &Errors))
    throw rpc_failure("not JSON: " + Errors);
  return Value;
}

/// Passes a client's messages to the transport.
class function_connector : public jsonrpc::IClientConnector {
public:
  explicit function_connector(const rpc_client::transport &GivenSend)
      : Send(GivenSend) {}

  void SendRPCMessage(const std::string &Message, std::string &Result) throw(
      jsonrpc::JsonRpcException) override {
    try {
      Result = Send(Message);
    } catch (const rpc_failure &Failure) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      Failure.what());
    }
  }

private:
  const rpc_client::transport &Send;
};

} // namespace

/// The library's protocol handler and the methods that it invokes.
class rpc_dispatcher::implementation
    : public jsonrpc::IProcedureInvokationHandler {
public:
  implementation()
      : Handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void add(const std::string &Name, method Run) {
    Methods[Name] = std::move(Run);
    const jsonrpc::Procedure Procedure(Name, jsonrpc::PARAMS_BY_NAME,
                                       jsonrpc::JSON_OBJECT, nullptr);
    Handler->AddProcedure(Procedure);
  }

  std::string handle(const std::string &Request) {
    std::string Response;
    Handler->HandleRequest(Request, Response);
    return Response;
  }

  void HandleMethodCall(jsonrpc::Procedure &Procedure, const Json::Value &Input,
                        Json::Value &Output) override {
    try {
      Output =
          readJson(Methods.at(Procedure.GetProcedureName())(writeJson(Input)));
    } catch (const rpc_failure &Failure) {
      throw jsonrpc::JsonRpcException(MethodFailedCode, Failure.what());
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure &,
                              const Json::Value &) override {}

private:
  std::map<std::string, method> Methods;
  std::unique_ptr<jsonrpc::IProtocolHandler> Handler;
};

rpc_dispatcher::rpc_dispatcher() : Implementation(new implementation) {}

rpc_dispatcher::~rpc_dispatcher() = default;

void rpc_dispatcher::addMethod(const std::string &Name, method Run) {
  Implementation->add(Name, std::move(Run));
}

std::string rpc_dispatcher::handle(const std::string &Request) {
  return Implementation->handle(Request);
}

rpc_client::rpc_client(transport GivenSend) : Send(std::move(GivenSend)) {}

std::string rpc_client::call(const std::string &Method,
                             const std::string &Parameters) {
  function_connector Connector(Send);
  jsonrpc::Client Client(Connector, jsonrpc::JSONRPC_CLIENT_V2);
  try {
    return writeJson(Client.CallMethod(Method, readJson(Parameters)));
  } catch (const jsonrpc::JsonRpcException &Error) {
    throw rpc_failure(Error.GetMessage());
  }
}

} // namespace lentilhoist
