#pragma once

// Small stand-ins for the cases of the review: the platform's store, HTTP over blocking sockets, the record, and the hosts under test as processes.
// They follow the users' pages: what is sent, in which order and with which fields. All addresses are loopback addresses, drawn anew for each run.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace World
{

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline const Clock::time_point began = Clock::now();

inline long nowMs()
{
    return static_cast<long>(std::chrono::duration_cast<Millis>(Clock::now() - began).count());
}

inline void sleepMs(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

/** Lines of record.txt: what was sent, answered and run, with the time in ms since the start. */
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        if (m_file) {
            std::fprintf(m_file, "%8ld %s\n", nowMs(), text.c_str());
        }
    }
    void close()
    {
        const std::lock_guard lock(m_mutex);
        if (m_file) {
            std::fclose(m_file);
            m_file = nullptr;
        }
    }

private:
    std::mutex m_mutex;
    FILE *m_file;
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** @return -1 if the address is in use */
inline int listenOn(const std::string &ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline int connectTo(const std::string &ip, int port, int timeoutMs = 1000)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        pollfd waiting{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof(error);
        if (errno != EINPROGRESS || poll(&waiting, 1, timeoutMs) <= 0 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

struct Message
{
    std::string start; ///< request or status line
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
    int status() const
    {
        return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
    }
};

/** Reads HTTP messages with a length from one connection. */
class Reader
{
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }
    enum class Result { Whole, Closed, Cut, TimedOut };

    /** @param deadlineMs of nowMs(); negative: none */
    Result read(Message &message, long deadlineMs = -1)
    {
        message = {};
        std::size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            const Result more = fill(deadlineMs);
            if (more != Result::Whole) {
                return more == Result::Closed && !m_bytes.empty() ? Result::Cut : more;
            }
        }
        std::size_t at = m_bytes.find("\r\n");
        message.start = m_bytes.substr(0, at);
        while (at < end) {
            const std::size_t next = m_bytes.find("\r\n", at + 2);
            std::string line = m_bytes.substr(at + 2, next - at - 2);
            const std::size_t colon = line.find(':');
            std::string name = line.substr(0, colon);
            for (char &letter : name) {
                letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
            }
            std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.fields[name] = value;
            at = next;
        }
        m_bytes.erase(0, end + 4);
        const std::size_t length = static_cast<std::size_t>(std::atol(message.field("content-length").c_str()));
        while (m_bytes.size() < length) {
            const Result more = fill(deadlineMs);
            if (more != Result::Whole) {
                return more == Result::Closed ? Result::Cut : more;
            }
        }
        message.body = m_bytes.substr(0, length);
        m_bytes.erase(0, length);
        return Result::Whole;
    }

private:
    Result fill(long deadlineMs)
    {
        pollfd waiting{m_fd, POLLIN, 0};
        const int wait = deadlineMs < 0 ? -1 : static_cast<int>(std::max(0L, deadlineMs - nowMs()));
        if (poll(&waiting, 1, wait) <= 0) {
            return Result::TimedOut;
        }
        char buffer[16384];
        const ssize_t count = recv(m_fd, buffer, sizeof(buffer), 0);
        if (count <= 0) {
            return Result::Closed;
        }
        m_bytes.append(buffer, static_cast<std::size_t>(count));
        return Result::Whole;
    }

    int m_fd;
    std::string m_bytes;
};

/** Accepts connections, each served by a thread of its own. */
inline void serve(int listener, std::function<void(int)> handler)
{
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (errno == EINTR || errno == ECONNABORTED) {
                    continue;
                }
                return;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([fd, handler] {
                handler(fd);
                close(fd);
            }).detach();
        }
    }).detach();
}

/** The platform's store: lists, watches and single objects of any kind, as the pages tell. Keeps all history. */
class Store
{
public:
    /** @return false if the address is in use */
    bool start(const std::string &ip, int port)
    {
        const int listener = listenOn(ip, port);
        if (listener < 0) {
            return false;
        }
        serve(listener, [this](int fd) { talk(fd); });
        return true;
    }
    /** @return the revision */
    long put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(m_mutex);
        return putLocked(kind, name, spec);
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_objects.find({kind, name});
        if (found == m_objects.end()) {
            return;
        }
        ++m_revision;
        m_history.push_back({m_revision, kind, "{\"removed\":true,\"object\":" + text(name, found->second) + "}"});
        m_objects.erase(found);
        m_changed.notify_all();
    }

private:
    struct Object
    {
        long revision = 0;
        std::string spec;
    };
    struct Event
    {
        long revision;
        std::string kind;
        std::string text;
    };

    static std::string text(const std::string &name, const Object &object)
    {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(object.revision)
            + ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec + ",\"status\":null}";
    }
    long putLocked(const std::string &kind, const std::string &name, const std::string &spec)
    {
        Object &object = m_objects[{kind, name}];
        object = {++m_revision, spec};
        m_history.push_back({m_revision, kind, "{\"removed\":false,\"object\":" + text(name, object) + "}"});
        m_changed.notify_all();
        return m_revision;
    }
    void talk(int fd)
    {
        Reader reader(fd);
        Message call;
        while (reader.read(call) == Reader::Result::Whole) {
            int status = 200;
            const std::string body = answer(call, status);
            if (!sendAll(fd,
                         "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                             + "\r\n\r\n" + body)) {
                return;
            }
        }
    }
    static std::string parameter(const std::string &query, const std::string &name)
    {
        const std::size_t at = ("&" + query).find("&" + name + "=");
        if (at == std::string::npos) {
            return "";
        }
        const std::string rest = query.substr(at + name.size() + 1);
        return rest.substr(0, rest.find('&'));
    }
    std::string answer(const Message &call, int &status)
    {
        const std::size_t first = call.start.find(' ');
        const std::string method = call.start.substr(0, first);
        const std::string target = call.start.substr(first + 1, call.start.rfind(' ') - first - 1);
        const std::string path = target.substr(0, target.find('?'));
        const std::string query = target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1);
        const std::string rest = path.substr(std::string("/objects/").size());
        const std::string kind = rest.substr(0, rest.find('/'));
        const std::string name = rest.find('/') == std::string::npos ? "" : rest.substr(rest.find('/') + 1);
        std::unique_lock lock(m_mutex);
        if (method != "GET") {
            status = 503; // the cases need no writes by hosts
            return "{}";
        }
        if (!name.empty()) {
            const auto found = m_objects.find({kind, name});
            status = found == m_objects.end() ? 404 : 200;
            return found == m_objects.end() ? "{}" : text(name, found->second);
        }
        const std::string watch = parameter(query, "watch");
        if (watch.empty()) {
            std::string entries;
            for (const auto &[key, object] : m_objects) {
                if (key.first == kind) {
                    entries += (entries.empty() ? "" : ",") + text(key.second, object);
                }
            }
            return "{\"entries\":[" + entries + "],\"hasMore\":false,\"asOf\":" + std::to_string(m_revision) + "}";
        }
        const long since = std::atol(watch.c_str());
        const Clock::time_point end = Clock::now() + Millis(std::atol(parameter(query, "waitMs").c_str()));
        while (true) {
            std::string events;
            for (const Event &event : m_history) {
                if (event.revision > since && event.kind == kind) {
                    events += (events.empty() ? "" : ",") + event.text;
                }
            }
            if (!events.empty() || Clock::now() >= end) {
                return "{\"events\":[" + events + "],\"asOf\":" + std::to_string(m_revision) + "}";
            }
            m_changed.wait_until(lock, end);
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, Object> m_objects;
    std::vector<Event> m_history;
    long m_revision = 100;
};

inline std::string replaced(std::string text, const std::string &what, const std::string &by)
{
    for (std::size_t at = text.find(what); at != std::string::npos; at = text.find(what, at + by.size())) {
        text.replace(at, what.size(), by);
    }
    return text;
}

/** One host under test: a process with the command of the deploy file. */
class Host
{
public:
    Host(std::string root, std::string folder, std::string ip, std::string name)
        : m_root(std::move(root))
        , m_folder(std::move(folder))
        , m_ip(std::move(ip))
        , m_name(std::move(name))
    {
    }
    ~Host()
    {
        kill(SIGKILL);
        wait();
    }
    const std::string &ip() const
    {
        return m_ip;
    }
    void writeSettings(const std::string &text) const
    {
        FILE *file = std::fopen(settingsPath().c_str(), "w");
        std::fputs(text.c_str(), file);
        std::fclose(file);
    }
    void start()
    {
        const std::string program = m_root + "/target/rhubarbwindd";
        const std::string log = m_folder + "/" + m_name + "." + std::to_string(++m_starts) + ".log";
        const std::string settings = settingsPath();
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // no host outlives the case
            const int out = open(log.c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0644);
            dup2(out, 1);
            dup2(out, 2);
            if (chdir(m_root.c_str()) != 0) {
                _exit(127);
            }
            execl(program.c_str(), program.c_str(), "--settings", settings.c_str(), nullptr);
            _exit(127);
        }
    }
    void kill(int signal)
    {
        if (m_pid > 0) {
            ::kill(m_pid, signal);
        }
    }
    bool runs()
    {
        if (m_pid > 0 && waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
            m_pid = -1;
        }
        return m_pid > 0;
    }
    void wait()
    {
        if (m_pid > 0) {
            waitpid(m_pid, &m_status, 0);
            m_pid = -1;
        }
    }
    int status() const
    {
        return m_status;
    }
    pid_t pid() const
    {
        return m_pid;
    }
    bool isReady(int port) const
    {
        const int fd = connectTo(m_ip, port);
        if (fd < 0) {
            return false;
        }
        sendAll(fd, "GET /readyz HTTP/1.1\r\nHost: " + m_ip + "\r\nConnection: close\r\n\r\n");
        Reader reader(fd);
        Message answer;
        const bool ready = reader.read(answer, nowMs() + 1000) == Reader::Result::Whole && answer.status() == 200;
        close(fd);
        return ready;
    }

private:
    std::string settingsPath() const
    {
        return m_folder + "/" + m_name + ".json";
    }

    std::string m_root;
    std::string m_folder;
    std::string m_ip;
    std::string m_name;
    pid_t m_pid = -1;
    int m_status = 0;
    int m_starts = 0;
};

constexpr int callersPort = 8227;
constexpr int readyPort = 8220;
constexpr int controlPort = 8229;
constexpr int storePort = 8223;
constexpr int workerPort = 8066;
constexpr int firstInternalPort = 7340;

/** The template of the deploy file, filled in as the platform does. */
inline std::string settingsOf(const std::string &name, const std::string &zone, const std::string &ip, const std::string &store, const std::string &seeds,
                              const std::string &contracts, int descriptors, int heartbeatMs)
{
    std::string text = R"({
    "host": "@name",
    "domain": "@zone",
    "callers": "@ip:8227",
    "admin": "@ip:9464",
    "peers": "@ip:7340",
    "peer_secret": "rhubarbwind @store",
    "platform": {
        "address": "@store",
        "timeout_ms": 1000,
    },
    "drain": {
        "balancer_delay_ms": 2500,
        "limit_ms": 4700,
    },
    "gateway": {
        "ready": "@ip:8220",
        "seeds": @seeds,
        "descriptors": @descriptors,
        "endpoint_speed": "learn",
        "pause_forecast": "off",
        "customer_shares": "auto",
        "slot_wait": "auto",
        "platform_features": @contracts,
        "endpoint_heartbeat_ms": @heartbeat,
    },
    "logs": {"layout": "json", "level": "info"},
}
)";
    text = replaced(text, "@name", name);
    text = replaced(text, "@zone", zone);
    text = replaced(text, "@ip", ip);
    text = replaced(text, "@store", store);
    text = replaced(text, "@seeds", seeds);
    text = replaced(text, "@descriptors", std::to_string(descriptors));
    text = replaced(text, "@contracts", contracts);
    return replaced(text, "@heartbeat", std::to_string(heartbeatMs));
}

/** A prefix of loopback addresses on which nothing listens: "127.a.b." */
inline std::string freePrefix()
{
    std::random_device device;
    for (int attempt = 0; attempt < 50; ++attempt) {
        const std::string prefix = "127." + std::to_string(16 + device() % 200) + "." + std::to_string(device() % 250) + ".";
        const int probe = listenOn(prefix + "1", storePort);
        if (probe >= 0) {
            close(probe);
            return prefix;
        }
    }
    return "";
}

} // namespace World
