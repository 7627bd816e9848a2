// Preloaded into a host of a soak: cuts it off from its peers while the first byte of the file RHUBARBWIND_PEER_CUT says so.
//
// Datagrams are dropped in either direction, and connections to other hosts' addresses (127.0.9.0/24) fail. Connections to endpoints and to the
// platform are on other addresses and are not affected.

#include "soak/peercut.h"

#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>

using namespace Rhubarbwind::Soak;

namespace
{

bool isCut(unsigned direction)
{
    static const volatile unsigned char *const flags = [] {
        const char *path = std::getenv(peerCutVariable);
        const int file = path == nullptr ? -1 : ::open(path, O_RDONLY | O_CLOEXEC);
        void *mapped = file < 0 ? MAP_FAILED : ::mmap(nullptr, 1, PROT_READ, MAP_SHARED, file, 0);
        if (file >= 0) {
            ::close(file);
        }
        return mapped == MAP_FAILED ? nullptr : static_cast<const volatile unsigned char *>(mapped);
    }();
    return flags != nullptr && (*flags & direction) != 0;
}

bool isDatagramSocket(int socket)
{
    int type = 0;
    socklen_t size = sizeof(type);
    return ::getsockopt(socket, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_DGRAM;
}

bool isPeer(const sockaddr *address)
{
    constexpr std::uint32_t peersNetwork = 0x7f000900;
    constexpr std::uint32_t networkMask = 0xffffff00;
    if (address == nullptr || address->sa_family != AF_INET) {
        return false;
    }
    const sockaddr_in *const ip = reinterpret_cast<const sockaddr_in *>(address);
    return (ntohl(ip->sin_addr.s_addr) & networkMask) == peersNetwork;
}

template <typename Function>
Function next(Function, const char *name)
{
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

ssize_t wouldBlock()
{
    errno = EAGAIN;
    return -1;
}

} // namespace

extern "C" {

ssize_t sendto(int socket, const void *bytes, size_t size, int flags, const sockaddr *to, socklen_t toSize)
{
    static const auto real = next(&::sendto, "sendto");
    return isCut(cutOutgoing) && isDatagramSocket(socket) ? static_cast<ssize_t>(size) : real(socket, bytes, size, flags, to, toSize);
}

ssize_t sendmsg(int socket, const msghdr *message, int flags)
{
    static const auto real = next(&::sendmsg, "sendmsg");
    if (!isCut(cutOutgoing) || !isDatagramSocket(socket)) {
        return real(socket, message, flags);
    }
    ssize_t size = 0;
    for (size_t i = 0; i < message->msg_iovlen; ++i) {
        size += static_cast<ssize_t>(message->msg_iov[i].iov_len);
    }
    return size;
}

ssize_t recvfrom(int socket, void *bytes, size_t size, int flags, sockaddr *from, socklen_t *fromSize)
{
    static const auto real = next(&::recvfrom, "recvfrom");
    const socklen_t space = fromSize == nullptr ? 0 : *fromSize;
    while (true) {
        const ssize_t received = real(socket, bytes, size, flags, from, fromSize);
        if (received < 0 || !isCut(cutIncoming) || !isDatagramSocket(socket)) {
            return received;
        }
        if (fromSize != nullptr) {
            *fromSize = space;
        }
    }
}

ssize_t recvmsg(int socket, msghdr *message, int flags)
{
    static const auto real = next(&::recvmsg, "recvmsg");
    const socklen_t space = message->msg_namelen;
    while (true) {
        const ssize_t received = real(socket, message, flags);
        if (received < 0 || !isCut(cutIncoming) || !isDatagramSocket(socket)) {
            return received;
        }
        message->msg_namelen = space;
    }
}

ssize_t send(int socket, const void *bytes, size_t size, int flags)
{
    static const auto real = next(&::send, "send");
    return isCut(cutOutgoing) && isDatagramSocket(socket) ? static_cast<ssize_t>(size) : real(socket, bytes, size, flags);
}

ssize_t recv(int socket, void *bytes, size_t size, int flags)
{
    static const auto real = next(&::recv, "recv");
    const ssize_t received = real(socket, bytes, size, flags);
    return received >= 0 && isCut(cutIncoming) && isDatagramSocket(socket) ? wouldBlock() : received;
}

int connect(int socket, const sockaddr *address, socklen_t size)
{
    static const auto real = next(&::connect, "connect");
    if (isCut(cutOutgoing | cutIncoming) && !isDatagramSocket(socket) && isPeer(address)) {
        errno = EHOSTUNREACH;
        return -1;
    }
    return real(socket, address, size);
}
}
