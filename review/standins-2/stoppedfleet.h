// Stand-ins of review/8: the platform's store, workers, consumers, and the hosts as separate processes.
// Everything listens on loopback addresses. Nothing here is used by the product.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <fcntl.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace world
{
using Clock = std::chrono::steady_clock;
inline const Clock::time_point began = Clock::now();
inline double seconds()
{
    return std::chrono::duration<double>(Clock::now() - began).count();
}
inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** Lines of record.txt: what was sent, answered and run. */
class Record
{
public:
    void open(const std::string &path)
    {
        m_file = fopen(path.c_str(), "w");
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        char text[1024];
        va_list args;
        va_start(args, format);
        vsnprintf(text, sizeof text, format, args);
        va_end(args);
        if (m_file) {
            fprintf(m_file, "%8.3f %s\n", seconds(), text);
            fflush(m_file);
        }
    }

private:
    std::mutex m_mutex;
    FILE *m_file = nullptr;
};
inline Record record;

inline std::string lower(std::string text)
{
    for (char &c : text) {
        c = static_cast<char>(tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

struct Message
{
    std::string first; ///< request or status line
    std::multimap<std::string, std::string> fields; ///< names in lower case
    std::string body;
    bool isWhole = false;
    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    int status() const
    {
        return first.size() > 12 ? atoi(first.c_str() + 9) : 0;
    }
    std::string method() const
    {
        return first.substr(0, first.find(' '));
    }
    std::string target() const
    {
        const size_t begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
};

/** A blocking connection with a read buffer. */
class Connection
{
public:
    explicit Connection(int fd = -1)
        : fd(fd)
    {
    }
    Connection(const Connection &) = delete;
    ~Connection()
    {
        closeNow();
    }
    void closeNow()
    {
        const int old = fd.exchange(-1);
        if (old >= 0) {
            ::close(old);
        }
    }
    bool send(const std::string &bytes)
    {
        size_t at = 0;
        while (at < bytes.size()) {
            const ssize_t sent = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            at += static_cast<size_t>(sent);
        }
        return true;
    }
    /** Reads once, `most` bytes at most. @return bytes read, 0 at the end, -1 on a reset or after timeoutMs */
    ssize_t readSome(int timeoutMs = -1, size_t most = 65536)
    {
        if (timeoutMs >= 0) {
            pollfd waiting{fd, POLLIN, 0};
            if (poll(&waiting, 1, timeoutMs) <= 0) {
                errno = ETIMEDOUT;
                return -1;
            }
        }
        std::string bytes(most, '\0');
        const ssize_t got = ::recv(fd, bytes.data(), bytes.size(), 0);
        if (got > 0) {
            buffer.append(bytes.data(), static_cast<size_t>(got));
        }
        return got;
    }
    /** @return false if the connection ended before a whole head */
    bool readHead(Message &message)
    {
        size_t end;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (readSome() <= 0) {
                return false;
            }
        }
        std::istringstream lines(buffer.substr(0, end));
        buffer.erase(0, end + 4);
        std::getline(lines, message.first);
        if (!message.first.empty() && message.first.back() == '\r') {
            message.first.pop_back();
        }
        std::string line;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const size_t colon = line.find(':');
            size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ') {
                ++value;
            }
            message.fields.emplace(lower(line.substr(0, colon)), line.substr(value));
        }
        return true;
    }
    bool readBody(Message &message, bool untilEnd = false)
    {
        if (lower(message.field("transfer-encoding")) == "chunked") {
            while (true) {
                size_t eol;
                while ((eol = buffer.find("\r\n")) == std::string::npos) {
                    if (readSome() <= 0) {
                        return false;
                    }
                }
                const size_t size = strtoul(buffer.c_str(), nullptr, 16);
                while (buffer.size() < eol + 2 + size + 2) {
                    if (readSome() <= 0) {
                        return false;
                    }
                }
                message.body += buffer.substr(eol + 2, size);
                buffer.erase(0, eol + 2 + size + 2);
                if (size == 0) {
                    return message.isWhole = true;
                }
            }
        }
        const std::string length = message.field("content-length");
        if (length.empty() && untilEnd) {
            ssize_t got;
            while ((got = readSome()) > 0) {
            }
            message.body = std::exchange(buffer, {});
            return message.isWhole = got == 0;
        }
        const size_t size = length.empty() ? 0 : strtoul(length.c_str(), nullptr, 10);
        while (buffer.size() < size) {
            if (readSome() <= 0) {
                return false;
            }
        }
        message.body = buffer.substr(0, size);
        buffer.erase(0, size);
        return message.isWhole = true;
    }

    std::atomic<int> fd;
    std::string buffer;
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

struct SocketOptions
{
    int receiveBytes = 0;
    int segmentBytes = 0;
};

inline int connectTo(const std::string &ip, int port, const SocketOptions &options = {})
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (options.receiveBytes) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receiveBytes, sizeof(int));
    }
    if (options.segmentBytes) {
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.segmentBytes, sizeof(int));
    }
    const sockaddr_in address = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

/** Listens, and serves each connection on a thread of its own. */
class Server
{
public:
    using Serve = std::function<void(Connection &)>;
    Server(const std::string &ip, Serve serve, int wantedPort = 0, int receiveBytes = 0)
        : m_serve(std::move(serve))
        , ip(ip)
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        if (receiveBytes) {
            setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(int));
        }
        sockaddr_in address = addressOf(ip, wantedPort);
        if (bind(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(m_fd, 512) != 0) {
            perror("listen");
            exit(2);
        }
        socklen_t size = sizeof address;
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size);
        port = ntohs(address.sin_port);
        std::thread([this] { acceptAll(); }).detach();
    }
    std::string address() const
    {
        return ip + ":" + std::to_string(port);
    }

private:
    void acceptAll()
    {
        while (true) {
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            std::thread([this, fd] {
                Connection connection(fd);
                m_serve(connection);
            }).detach();
        }
    }
    Serve m_serve;
    int m_fd = -1;

public:
    std::string ip;
    int port = 0;
};

/** The raw text of a member of a JSON object. */
inline std::string memberOf(const std::string &text, const std::string &name)
{
    size_t at = 0;
    int depth = 0;
    const auto skipString = [&](size_t from) {
        size_t i = from + 1;
        while (i < text.size() && text[i] != '"') {
            i += text[i] == '\\' ? 2 : 1;
        }
        return i + 1;
    };
    while (at < text.size()) {
        if (text[at] == '"') {
            const size_t end = skipString(at);
            const std::string key = text.substr(at + 1, end - at - 2);
            if (depth == 1 && key == name && end < text.size() && text[end] == ':') {
                size_t stop = end + 1;
                int inner = 0;
                while (stop < text.size()) {
                    if (text[stop] == '"') {
                        stop = skipString(stop);
                        continue;
                    }
                    if (text[stop] == '{' || text[stop] == '[') {
                        ++inner;
                    } else if (text[stop] == '}' || text[stop] == ']') {
                        if (inner-- == 0) {
                            break;
                        }
                    } else if (text[stop] == ',' && inner == 0) {
                        break;
                    }
                    ++stop;
                }
                return text.substr(end + 1, stop - end - 1);
            }
            at = end;
            continue;
        }
        depth += text[at] == '{' || text[at] == '[' ? 1 : text[at] == '}' || text[at] == ']' ? -1 : 0;
        ++at;
    }
    return {};
}

inline std::string unquoted(const std::string &text)
{
    return text.size() >= 2 && text.front() == '"' ? text.substr(1, text.size() - 2) : text;
}

/** The platform's store: lists, watches, reads and conditional writes, as PROTOCOL.md tells them. */
class Store
{
public:
    struct Object
    {
        uint64_t revision = 0;
        std::string spec;
    };
    struct Event
    {
        uint64_t revision;
        std::string kind;
        std::string text;
    };

    explicit Store(const std::string &ip)
        : server(ip, [this](Connection &connection) { serve(connection); })
    {
    }
    uint64_t put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return store(kind, name, spec);
    }
    void remove(const std::string &kind, const std::string &name)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_kinds[kind].erase(name);
        ++m_revision;
        m_events.push_back({m_revision, kind, "{\"object\":{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(m_revision) + "}},\"removed\":true}"});
        m_changed.notify_all();
    }

private:
    uint64_t store(const std::string &kind, const std::string &name, const std::string &spec)
    {
        m_kinds[kind][name] = {++m_revision, spec};
        m_events.push_back({m_revision, kind, "{\"object\":" + textOf(name, m_kinds[kind][name]) + ",\"removed\":false}"});
        m_changed.notify_all();
        return m_revision;
    }
    static std::string textOf(const std::string &name, const Object &object)
    {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(object.revision) + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec + ",\"status\":{}}";
    }
    static std::string query(const std::string &target, const std::string &name)
    {
        const size_t at = target.find(name + "=");
        return at == std::string::npos ? std::string() : target.substr(at + name.size() + 1, target.find('&', at) - at - name.size() - 1);
    }
    void answer(Connection &connection, int status, const std::string &body)
    {
        connection.send("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    void serve(Connection &connection)
    {
        while (true) {
            Message request;
            if (!connection.readHead(request) || !connection.readBody(request)) {
                return;
            }
            handle(connection, request);
        }
    }
    void handle(Connection &connection, const Message &request)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        std::string kind = path.substr(path.rfind("/objects/") + 9);
        std::string name;
        if (const size_t slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind = kind.substr(0, slash);
        }
        std::unique_lock<std::mutex> lock(m_mutex);
        const std::string watch = query(target, "watch");
        if (request.method() == "GET" && !watch.empty()) {
            const uint64_t since = strtoull(watch.c_str(), nullptr, 10);
            const auto until = Clock::now() + std::chrono::milliseconds(atoi(query(target, "waitMs").c_str()));
            std::string events;
            while (true) {
                for (const Event &event : m_events) {
                    if (event.revision > since && event.kind == kind) {
                        events += (events.empty() ? "" : ",") + event.text;
                    }
                }
                if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                    break;
                }
            }
            const std::string body = "{\"events\":[" + events + "],\"asOf\":" + std::to_string(m_revision) + "}";
            lock.unlock();
            answer(connection, 200, body);
            return;
        }
        if (request.method() == "GET" && name.empty()) {
            std::string entries;
            for (const auto &[each, object] : m_kinds[kind]) {
                entries += (entries.empty() ? "" : ",") + textOf(each, object);
            }
            const std::string body = "{\"entries\":[" + entries + "],\"hasMore\":false,\"asOf\":" + std::to_string(m_revision) + "}";
            lock.unlock();
            answer(connection, 200, body);
            return;
        }
        std::map<std::string, Object> &objects = m_kinds[kind];
        const std::string metadata = memberOf(request.body, "metadata");
        if (request.method() == "POST") {
            name = unquoted(memberOf(metadata, "name"));
        }
        const auto found = objects.find(name);
        const bool exists = found != objects.end();
        std::string wanted = request.method() == "DELETE" ? query(target, "revision") : memberOf(metadata, "revision");
        int status = 200;
        std::string body = "{}";
        if (request.method() == "GET" || request.method() == "DELETE" || request.method() == "PUT") {
            status = exists ? 200 : 404;
        }
        if (exists && (request.method() == "POST" || (!wanted.empty() && strtoull(wanted.c_str(), nullptr, 10) != found->second.revision))) {
            status = 409;
        }
        if (status == 200 && (request.method() == "POST" || request.method() == "PUT")) {
            const std::string spec = memberOf(request.body, "spec");
            if (!exists || found->second.spec != spec) {
                store(kind, name, spec);
            }
            status = request.method() == "POST" ? 201 : 200;
        }
        if (status == 200 && request.method() == "DELETE") {
            objects.erase(found);
            ++m_revision;
            m_events.push_back({m_revision, kind, "{\"object\":{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(m_revision) + "}},\"removed\":true}"});
            m_changed.notify_all();
        } else if (objects.count(name)) {
            body = textOf(name, objects[name]);
        }
        lock.unlock();
        answer(connection, status, body);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    uint64_t m_revision = 10;
    std::map<std::string, std::map<std::string, Object>> m_kinds;
    std::deque<Event> m_events;

public:
    Server server;
};

/** Fills deploy/host.json.in as DEPLOY.md tells it: values, {{#section}}, {{^section}}; of what this template uses. */
inline std::string fillTemplate(const std::string &text, const std::map<std::string, std::string> &plain, const std::map<std::string, std::string> &json)
{
    std::string out;
    size_t at = 0;
    while (at < text.size()) {
        const size_t open = text.find("{{", at);
        if (open == std::string::npos) {
            return out + text.substr(at);
        }
        out += text.substr(at, open - at);
        const size_t close = text.find("}}", open);
        std::string name = text.substr(open + 2, close - open - 2);
        at = close + 2;
        if (name[0] == '#' || name[0] == '^') {
            const std::string key = name.substr(1);
            const std::string end = "{{/" + key + "}}";
            const size_t stop = text.find(end, at);
            const auto found = plain.find(key);
            const bool isSet = found != plain.end() && !found->second.empty() && found->second != "false";
            if (isSet == (name[0] == '#')) {
                out += fillTemplate(text.substr(at, stop - at), plain, json);
            }
            at = stop + end.size();
            continue;
        }
        const size_t bar = name.find("|json");
        const std::string key = name.substr(0, bar);
        const auto &values = bar == std::string::npos ? plain : json;
        const auto found = values.find(key);
        out += found == values.end() ? (bar == std::string::npos ? "" : "null") : found->second;
    }
    return out;
}

inline int freePort(const std::string &ip)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf(ip, 0);
    bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address);
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    close(fd);
    return ntohs(address.sin_port);
}

/** A host: the program and the command of the deploy file, with settings filled from its template. */
class Host
{
public:
    struct Ports
    {
        int front, ready, control, peers;
    };
    Host(const std::string &root, const std::string &folder, const std::string &name, const std::string &zone, const std::string &ip, const Ports &ports,
         const std::vector<std::string> &seeds, const std::string &store, const std::string &graceS)
        : name(name)
        , ip(ip)
        , ports(ports)
        , m_root(root)
        , m_folder(folder)
    {
        std::ifstream file(root + "/deploy/host.json.in");
        std::stringstream text;
        text << file.rdbuf();
        m_template = text.str();
        std::string seedList;
        for (const std::string &seed : seeds) {
            seedList += (seedList.empty() ? "\"" : ",\"") + seed + ":" + std::to_string(ports.control) + "\"";
        }
        const auto set = [this](const std::string &key, const std::string &value) {
            m_plain[key] = value;
            m_json[key] = "\"" + value + "\"";
        };
        set("nodeName", name);
        set("zone", zone);
        set("ip", ip);
        set("listen.frontend", ip + ":" + std::to_string(ports.front));
        set("listen.readyAddr", ip + ":" + std::to_string(ports.ready));
        set("platform.address", store);
        m_plain["internalPorts.0"] = std::to_string(ports.peers);
        m_plain["bounds.graceS"] = graceS;
        m_json["seeds"] = "[" + seedList + "]";
        m_json["limits.maxFds"] = "4100";
        m_json["limits.memoryMb"] = "260";
        m_plain["limits.maxFds"] = "4100";
        m_plain["limits.memoryMb"] = "260";
        m_json["contracts"] = "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"]";
        m_plain["bootstrap"] = "true";
        m_plain["heartbeatMs"] = "1200";
    }
    ~Host()
    {
        if (pid > 0) {
            ::kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
    }
    void start()
    {
        const std::string settings = m_folder + "/" + name + ".json";
        std::ofstream(settings) << fillTemplate(m_template, m_plain, m_json);
        const std::string log = m_folder + "/" + name + ".log";
        m_plain["bootstrap"] = "";
        pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            chdir(m_root.c_str());
            execl("target/rhubarbwindd", "target/rhubarbwindd", "--settings", settings.c_str(), nullptr);
            _exit(127);
        }
        record.line("host %s: started, callers at %s:%d", name.c_str(), ip.c_str(), ports.front);
    }
    bool isReady() const
    {
        const int fd = connectTo(ip, ports.ready);
        if (fd < 0) {
            return false;
        }
        Connection connection(fd);
        Message answer;
        connection.send("GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        return connection.readHead(answer) && answer.status() == 200;
    }
    void signal(int number)
    {
        ::kill(pid, number);
    }
    /** @return true if the process has ended; its wait status in `status` */
    bool hasEnded()
    {
        if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
            pid = -1;
        }
        return pid <= 0;
    }

    std::string name;
    std::string ip;
    Ports ports;
    pid_t pid = -1;
    int status = 0;

private:
    std::string m_root;
    std::string m_folder;
    std::string m_template;
    std::map<std::string, std::string> m_plain;
    std::map<std::string, std::string> m_json;
};

inline bool waitUntil(int limitMs, const std::function<bool()> &done)
{
    const auto until = Clock::now() + std::chrono::milliseconds(limitMs);
    while (!done()) {
        if (Clock::now() >= until) {
            return false;
        }
        sleepMs(20);
    }
    return true;
}

inline std::string serverEntry(const std::string &service, const std::string &address, const std::string &zone, const std::string &state, int slots = 16)
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone + "\",\"version\":\"1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + state
        + "\",\"coldLeftMs\":0,\"seqNo\":1}";
}

/** `routes`: the routes of the configuration, as JSON. */
inline std::string configuration(const std::string &routes, const std::string &service, const std::string &other = {})
{
    const auto entry = [](const std::string &name) { return "{\"name\":\"" + name + "\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false}"; };
    return "{\"version\":7,\"routes\":[" + routes + "],\"services\":[" + entry(service) + (other.empty() ? "" : "," + entry(other))
        + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
          "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"k1\"]}]}";
}

struct Arguments
{
    Arguments(int argc, char **argv)
    {
        signal(SIGPIPE, SIG_IGN);
        if (argc != 4) {
            fprintf(stderr, "usage: %s ROOT FOLDER RECORD\n", argv[0]);
            exit(2);
        }
        root = argv[1];
        folder = argv[2];
        record = argv[3];
        const char *trouble = getenv("TROUBLE");
        hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    }
    std::string root; ///< of the repository
    std::string folder; ///< for settings and logs
    std::string record;
    bool hasTrouble = true;
};

/** A loopback network of this process, since the template states a fixed port beside the free ones. */
inline std::string network()
{
    const int pid = getpid();
    return "127." + std::to_string(20 + pid % 200) + "." + std::to_string(pid / 200 % 250) + ".";
}

/** Hosts in two zones, on addresses of their own with the same ports. */
class Fleet
{
public:
    Fleet(const Arguments &arguments, const Store &store, int count)
    {
        const std::string first = network() + "1";
        const Host::Ports ports{freePort(first), freePort(first), freePort(first), freePort(first)};
        for (int i = 1; i <= count; ++i) {
            const std::string zone = i % 2 ? "zone-a" : "zone-b";
            hosts.push_back(std::make_unique<Host>(arguments.root, arguments.folder, "frontend-" + zone + "-" + std::to_string(i), zone, network() + std::to_string(i), ports,
                                                   std::vector<std::string>{first}, store.server.address(), "8"));
        }
    }
    /** @return whether all hosts have become ready */
    bool start()
    {
        for (const std::unique_ptr<Host> &host : hosts) {
            host->start();
        }
        return waitUntil(15'000, [this] {
            for (const std::unique_ptr<Host> &host : hosts) {
                if (!host->isReady()) {
                    return false;
                }
            }
            return true;
        });
    }
    std::vector<std::unique_ptr<Host>> hosts;

    /** Ends the hosts and this process, whose servers' threads would outlive what they use. */
    [[noreturn]] void finish(int code)
    {
        hosts.clear();
        fflush(stdout);
        _exit(code);
    }
    [[noreturn]] void cannotRun(const char *why)
    {
        record.line("the case could not run: %s", why);
        fprintf(stderr, "the case could not run: %s\n", why);
        finish(2);
    }
};
} // namespace world
