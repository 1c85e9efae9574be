#include "http/strict_server.h"

#include "core/instant.h"
#include "net/http_reader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fmt/format.h>
#include <optional>
#include <poll.h>

namespace lentilhoist {

namespace {

/// Interval at which a thread that waits for a request looks whether the server
/// stops.
constexpr milliseconds StopCheckInterval{100};
/// How long the rest of a rejected request is read and dropped.
constexpr milliseconds LingerTime{500};
constexpr std::size_t ReadSize = 4UL * 1024UL;

/// Why a request is rejected before its handler.
struct rejection {
  int Status;
  const char *Code;
  std::string Message;
};

bool waitFor(socket_t Socket, short Events, milliseconds Time) {
  pollfd Poll{Socket, Events, 0};
  return ::poll(&Poll, 1, static_cast<int>(Time.count())) > 0;
}

/// The library's view of a connection, with the bytes that were read to check
/// the head of a request in front.
class checked_stream : public httplib::Stream {
public:
  checked_stream(socket_t GivenSocket, milliseconds GivenReadTime,
                 milliseconds GivenWriteTime, std::size_t GivenMaxBodyBytes)
      : Socket(GivenSocket), ReadTime(GivenReadTime), WriteTime(GivenWriteTime),
        MaxBodyBytes(GivenMaxBodyBytes) {}

  bool buffered() const { return !Buffer.empty(); }

  /// \returns why the request is rejected whose body the library was reading;
  /// nothing if its body is not too large.
  std::optional<rejection> checkBody() const {
    if (BodyBytes <= MaxBodyBytes)
      return std::nullopt;
    return rejection{413, "body_too_large",
                     fmt::format("the body exceeds {} bytes", MaxBodyBytes)};
  }

  /// Reads the head of the next request and leaves it to be read again.
  /// \returns why the request is rejected; nothing if it is sound or the caller
  /// has left.
  std::optional<rejection> checkHead(std::size_t MaxBytes, milliseconds Time) {
    const instant Deadline = later(readClock(), Time);
    Reader.reset();
    Reader.setMaxHeadBytes(MaxBytes);
    BodyBytes = 0;
    for (std::size_t Checked = 0;;) {
      for (; Checked < Buffer.size(); ++Checked) {
        // The library skips lines that end in a lone line feed.
        const bool LoneLineFeed = Buffer[Checked] == '\n' &&
                                  (Checked == 0 || Buffer[Checked - 1] != '\r');
        Reader.feed(std::string_view(Buffer).substr(Checked, 1));
        if (LoneLineFeed || Reader.error() != http_read_error::None)
          return rejectionOf(Reader.error(), MaxBytes);
        if (Reader.headComplete()) {
          HeadLeft = Checked + 1;
          BodyBytes = declaredLength(Reader.request().Fields);
          return checkBody();
        }
      }
      const auto Left = std::chrono::duration_cast<milliseconds>(
          Deadline.Steady - readClock().Steady);
      if (Left.count() <= 0 || !waitFor(Socket, POLLIN, Left))
        return rejection{408, "timeout",
                         fmt::format("the head of the request was not complete "
                                     "within {} ms",
                                     Time.count())};
      if (!receive())
        return std::nullopt;
    }
  }

  bool is_readable() const override {
    return buffered() || waitFor(Socket, POLLIN, ReadTime);
  }
  bool is_writable() const override {
    return waitFor(Socket, POLLOUT, WriteTime);
  }
  ssize_t read(char *Out, size_t Size) override {
    if (!is_readable() || (!buffered() && !receive()))
      return -1;
    const std::size_t Length = std::min(Size, Buffer.size());
    if (!countBody(std::string_view(Buffer).substr(0, Length)))
      return -1;
    std::copy_n(Buffer.begin(), Length, Out);
    Buffer.erase(0, Length);
    return static_cast<ssize_t>(Length);
  }
  ssize_t write(const char *Bytes, size_t Size) override {
    // The library's own error for a body that it could not read.
    if (checkBody())
      return -1;
    return sendBytes(Bytes, Size);
  }
  ssize_t sendBytes(const char *Bytes, size_t Size) {
    return is_writable() ? ::send(Socket, Bytes, Size, MSG_NOSIGNAL) : -1;
  }
  void get_remote_ip_and_port(std::string &Ip, int &Port) const override {
    readAddress(::getpeername, Ip, Port);
  }
  void get_local_ip_and_port(std::string &Ip, int &Port) const override {
    readAddress(::getsockname, Ip, Port);
  }
  socket_t socket() const override { return Socket; }

private:
  static rejection rejectionOf(http_read_error Error, std::size_t MaxBytes) {
    if (Error == http_read_error::HeadTooLarge)
      return {
          431, "head_too_large",
          fmt::format("the head of the request exceeds {} bytes", MaxBytes)};
    return {400, "bad_request",
            "the request line, a field or the framing of the body is malformed "
            "or ambiguous"};
  }

  /// Counts what the library reads of a body. The library limits bodies with a
  /// length only.
  /// \returns whether the body may go on.
  bool countBody(std::string_view Bytes) {
    const std::size_t OfHead = std::min(HeadLeft, Bytes.size());
    HeadLeft -= OfHead;
    Reader.feed(Bytes.substr(OfHead));
    const std::size_t Decoded = Reader.takeBody().size();
    if (!findField(Reader.request().Fields, "Content-Length"))
      BodyBytes += Decoded;
    return BodyBytes <= MaxBodyBytes;
  }

  bool receive() {
    char Bytes[ReadSize];
    const ssize_t Length = ::recv(Socket, Bytes, sizeof(Bytes), 0);
    if (Length > 0)
      Buffer.append(Bytes, static_cast<std::size_t>(Length));
    return Length > 0;
  }

  template <typename Getter>
  void readAddress(Getter GetName, std::string &Ip, int &Port) const {
    sockaddr_in Address{};
    socklen_t Length = sizeof(Address);
    if (GetName(Socket, reinterpret_cast<sockaddr *>(&Address), &Length) != 0)
      return;
    char Text[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &Address.sin_addr, Text, sizeof(Text));
    Ip = Text;
    Port = ntohs(Address.sin_port);
  }

  socket_t Socket;
  milliseconds ReadTime;
  milliseconds WriteTime;
  std::string Buffer; ///< Received and not yet read by the library.
  std::size_t MaxBodyBytes;
  http_reader Reader{http_message::Request}; ///< Of the current request.
  std::size_t HeadLeft = 0; ///< Bytes of its head that the library has to read.
  std::size_t BodyBytes = 0; ///< Declared, or else received so far.
};

/// Answers with an error. What the caller still sends is read and dropped for a
/// while: closing the connection on it would reset it before the caller has
/// read the answer.
void reject(const rejection &Rejection, checked_stream &Stream) {
  const std::string Body = fmt::format(
      R"({{"error":{{"code":"{}","run":"not_run","message":"{}"}}}})",
      Rejection.Code, Rejection.Message);
  http_response_head Head{Rejection.Status,
                          {{"Content-Type", "application/json"}}};
  const std::string Bytes =
      encodeResponseHead(Head, body_framing::Length, Body.size(), true) + Body;
  // A caller that does not read its error is not waited for.
  (void)Stream.sendBytes(Bytes.data(), Bytes.size());
  ::shutdown(Stream.socket(), SHUT_WR);
  const instant Deadline = later(readClock(), LingerTime);
  char Dropped[ReadSize];
  while (readClock().Steady < Deadline.Steady &&
         waitFor(Stream.socket(), POLLIN, StopCheckInterval) &&
         ::recv(Stream.socket(), Dropped, sizeof(Dropped), 0) > 0) {
  }
}

milliseconds durationOf(time_t Seconds, time_t Microseconds) {
  return seconds(Seconds) +
         std::chrono::duration_cast<milliseconds>(microseconds(Microseconds));
}

} // namespace

bool strict_server::process_and_close_socket(socket_t Socket) {
  checked_stream Stream(
      Socket, durationOf(read_timeout_sec_, read_timeout_usec_),
      durationOf(write_timeout_sec_, write_timeout_usec_), payload_max_length_);
  const milliseconds IdleTime = seconds(keep_alive_timeout_sec_);
  bool Served = true;
  for (std::size_t Left = keep_alive_max_count_; Left > 0; --Left) {
    const instant Deadline = later(readClock(), IdleTime);
    while (svr_sock_ != INVALID_SOCKET && !Stream.buffered() &&
           readClock().Steady < Deadline.Steady &&
           !waitFor(Socket, POLLIN, StopCheckInterval)) {
    }
    if (svr_sock_ == INVALID_SOCKET || readClock().Steady >= Deadline.Steady)
      break;
    if (const auto Rejection = Stream.checkHead(MaxHeadBytes, HeadTime)) {
      reject(*Rejection, Stream);
      break;
    }
    bool Closed = false;
    Served = process_request(Stream, Left == 1, Closed, nullptr);
    if (const auto Rejection = Stream.checkBody()) {
      reject(*Rejection, Stream);
      break;
    }
    if (!Served || Closed)
      break;
  }
  ::shutdown(Socket, SHUT_RDWR);
  ::close(Socket);
  return Served;
}

} // namespace lentilhoist
