#pragma once

#include <cstdio>
#include <string>
#include <vector>

namespace lentilhoist {

/// Successes that are broken in one place each. net_test tries each byte that
/// the grammar excludes; these show that a client is under the same rule.
/// \param Fields lines of the head, without the framing.
/// \param Body the body.
/// \returns the responses.
inline std::vector<std::string> brokenResponses(const std::string &Fields,
                                                const std::string &Body) {
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  const std::string Length =
      "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
  char Size[16];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Body.size());
  std::vector<std::string> Broken;
  for (const char *Line :
       {"HTTP/1.1 000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 099 OK",
        "HTTP/1.1 0200 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
        "HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK"})
    Broken.push_back(Line + ("\r\n" + Fields) + Length + "\r\n" + Body);
  for (const char *Line :
       {"Content-Length : 1\r\n", " Content-Length: 1\r\n", "X A: b\r\n",
        "X\x01: b\r\n", "X-A: b\r\n c\r\n", "X-A: b\x01\r\n",
        "X-A: b\nX-B: c\r\n", "\rContent-Length: 1\r\n"}) {
    Broken.push_back(Ok + Line + Fields + Length + "\r\n" + Body);
    Broken.push_back(Ok + Fields + Line + Length + "\r\n" + Body);
    Broken.push_back("HTTP/1.1 103 Early Hints\r\n" + (Line + ("\r\n" + Ok)) +
                     Fields + Length + "\r\n" + Body);
    Broken.push_back(Ok + Fields + Chunked + Size + Body + "\r\n0\r\n" + Line +
                     "\r\n");
  }
  Broken.push_back(Ok + Fields + Chunked + Size + Body + "XX0\r\n\r\n");
  return Broken;
}

} // namespace lentilhoist
