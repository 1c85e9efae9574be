#include "http/http_server.h"

#include "http/worker_pool.h"

#include <fmt/format.h>
#include <netinet/tcp.h>
#include <stdexcept>

namespace lentilhoist {

namespace {

constexpr std::size_t MaxRequestsPerConnection = 1'000'000;
constexpr const char *OverloadBody =
    R"({"error":{"code":"overloaded","run":"not_run",)"
    R"("message":"all connections are in use"}})";

void enable(int Descriptor, int Level, int Option) {
  const int On = 1;
  ::setsockopt(Descriptor, Level, Option, &On, sizeof(On));
}

} // namespace

void setSocketOptions(int Descriptor) {
  enable(Descriptor, IPPROTO_TCP, TCP_NODELAY);
  enable(Descriptor, SOL_SOCKET, SO_REUSEADDR);
}

http_server::http_server(http_server_settings Given)
    : Settings(std::move(Given)),
      Server(Settings.MaxHeadBytes, Settings.HeadTime) {
  Server.set_tcp_nodelay(true);
  Server.set_keep_alive_max_count(MaxRequestsPerConnection);
  Server.set_keep_alive_timeout(
      std::chrono::duration_cast<std::chrono::seconds>(Settings.IdleTimeout)
          .count());
  Server.set_read_timeout(Settings.ReadTimeout);
  Server.set_write_timeout(Settings.WriteTimeout);
  Server.set_payload_max_length(Settings.MaxBodyBytes);
  Server.set_socket_options([this](socket_t Socket) {
    setSocketOptions(Socket);
    Descriptor = Socket;
  });
  const std::size_t Workers = Settings.MaxConnections;
  Server.new_task_queue = [Workers] { return new worker_pool(Workers); };
  Server.set_pre_routing_handler(
      [this](const httplib::Request &Request, httplib::Response &Response) {
        if (worker_pool::isRefusing()) {
          Response.status = 429;
          Response.set_header("Retry-After", "1");
          Response.set_header("Connection", "close");
          Response.set_content(OverloadBody, "application/json");
          return httplib::Server::HandlerResponse::Handled;
        }
        if (Guard && Guard(Request, Response))
          return httplib::Server::HandlerResponse::Handled;
        return httplib::Server::HandlerResponse::Unhandled;
      });
}

http_server::~http_server() { stop(); }

void http_server::setGuard(
    std::function<bool(const httplib::Request &, httplib::Response &)> Check) {
  Guard = std::move(Check);
}

void http_server::start() {
  if (Settings.Port == 0)
    Settings.Port = Server.bind_to_any_port(Settings.Address);
  else if (!Server.bind_to_port(Settings.Address, Settings.Port))
    Settings.Port = -1;
  if (Settings.Port < 0)
    throw std::runtime_error(
        fmt::format("can't bind {}:{}", Settings.Address, Settings.Port));
  ::listen(Descriptor, Settings.Backlog);
  Thread = std::thread([this] { Server.listen_after_bind(); });
  while (!Server.is_running())
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void http_server::stop() {
  if (!Thread.joinable())
    return;
  Server.stop();
  Thread.join();
}

} // namespace lentilhoist
