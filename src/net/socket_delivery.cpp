#include "net/socket_delivery.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace lentilhoist {

bool hasUndeliveredBytes(int Socket) {
  int Bytes = 0;
  return ::ioctl(Socket, SIOCOUTQ, &Bytes) == 0 && Bytes > 0;
}

int takeSocketError(int Socket) {
  int Error = 0;
  socklen_t Length = sizeof(Error);
  return ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Length) == 0
             ? Error
             : 0;
}

} // namespace lentilhoist
