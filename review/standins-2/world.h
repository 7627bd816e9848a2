#pragma once

// The surroundings of a small deployment for the scripts of this review: the platform's store, workers, consumers and the hosts' processes, all on loopback
// addresses. They follow the users' pages and use nothing but the C++ library and the system's sockets. Connections have a thread each.

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

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace Review
{

using Clock = std::chrono::steady_clock;

inline constexpr int exitHeld = 0;
inline constexpr int exitBroken = 1;
inline constexpr int exitCannotRun = 2;

inline const Clock::time_point &startOfRun()
{
    static const Clock::time_point start = Clock::now();
    return start;
}

inline long sinceStartMs()
{
    return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startOfRun()).count());
}

inline void sleepMs(long ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** Lines of record.txt: what was sent, answered and run. */
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {
    }
    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_file << sinceStartMs() << " ms " << text << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/** The processes that this case has started. */
inline std::set<pid_t> &startedProcesses()
{
    static std::set<pid_t> started;
    return started;
}

/** Ends all processes that this case has started, and the case itself, at once: its threads may still be in calls. */
[[noreturn]] inline void finish(int code)
{
    for (const pid_t started : startedProcesses()) {
        kill(started, SIGCONT);
        kill(started, SIGKILL);
        waitpid(started, nullptr, 0);
    }
    std::fflush(nullptr);
    _exit(code);
}

[[noreturn]] inline void cannotRun(const std::string &why)
{
    std::fprintf(stderr, "The case can't run: %s\n", why.c_str());
    finish(exitCannotRun);
}

// Sockets

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline bool isFree(const std::string &ip, int port, int type)
{
    const int fd = socket(AF_INET, type, 0);
    const sockaddr_in address = addressOf(ip, port);
    const bool isBound = bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    close(fd);
    return isBound;
}

/** A listener that hands each connection to a thread of its own. */
class Listener
{
public:
    Listener(const std::string &ip, std::function<void(int)> serve)
        : m_ip(ip)
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address = addressOf(ip, 0);
        if (bind(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || listen(m_fd, 512) != 0) {
            cannotRun("no listener at " + ip);
        }
        socklen_t size = sizeof(address);
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        std::thread([fd = m_fd, serve = std::move(serve)] {
            while (true) {
                const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                const int noDelay = 1;
                setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
                std::thread(serve, accepted).detach();
            }
        }).detach();
    }
    std::string address() const
    {
        return m_ip + ":" + std::to_string(m_port);
    }

private:
    std::string m_ip;
    int m_fd = -1;
    int m_port = 0;
};

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t at = 0;
    while (at < bytes.size()) {
        const ssize_t sent = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        at += static_cast<std::size_t>(sent);
    }
    return true;
}

// HTTP/1.1

struct Message
{
    std::string firstLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    /** The word of the first line, from 0. */
    std::string word(int index) const
    {
        std::istringstream words(firstLine);
        std::string found;
        for (int i = 0; i <= index; ++i) {
            found.clear();
            words >> found;
        }
        return found;
    }
};

/** Reads messages from a connection, one after the other. */
class Reader
{
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }

    /** @return none at the end of the connection, after the time limit, or for a message that breaks off */
    std::optional<Message> next(long timeoutMs = 3'600'000, bool hasNoBody = false)
    {
        const Clock::time_point end = Clock::now() + std::chrono::milliseconds(timeoutMs);
        std::size_t headEnd = std::string::npos;
        while ((headEnd = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!more(end)) {
                return std::nullopt;
            }
        }
        Message message;
        std::istringstream head(m_bytes.substr(0, headEnd));
        m_bytes.erase(0, headEnd + 4);
        std::string line;
        std::getline(head, line);
        message.firstLine = trimmed(line);
        while (std::getline(head, line)) {
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                message.fields.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
            }
        }
        if (hasNoBody) {
            return message;
        }
        if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            return readChunks(message, end) ? std::optional(message) : std::nullopt;
        }
        const std::string length = message.field("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (m_bytes.size() < size) {
            if (!more(end)) {
                return std::nullopt;
            }
        }
        message.body = m_bytes.substr(0, size);
        m_bytes.erase(0, size);
        return message;
    }

private:
    static std::string trimmed(std::string text)
    {
        const char *blanks = " \t\r\n";
        text.erase(0, std::min(text.find_first_not_of(blanks), text.size()));
        text.erase(text.find_last_not_of(blanks) + 1);
        return text;
    }
    bool more(Clock::time_point end)
    {
        pollfd wait{m_fd, POLLIN, 0};
        const long left = static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count());
        if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char bytes[65536];
        const ssize_t size = recv(m_fd, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            return false;
        }
        m_bytes.append(bytes, static_cast<std::size_t>(size));
        return true;
    }
    bool readChunks(Message &message, Clock::time_point end)
    {
        while (true) {
            std::size_t lineEnd = std::string::npos;
            while ((lineEnd = m_bytes.find("\r\n")) == std::string::npos) {
                if (!more(end)) {
                    return false;
                }
            }
            const std::size_t size = std::stoul(m_bytes.substr(0, lineEnd), nullptr, 16);
            m_bytes.erase(0, lineEnd + 2);
            while (m_bytes.size() < size + 2) {
                if (!more(end)) {
                    return false;
                }
            }
            message.body += m_bytes.substr(0, size);
            m_bytes.erase(0, size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int m_fd;
    std::string m_bytes;
};

inline std::string answerText(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store

inline std::string quoted(const std::string &text)
{
    std::string made = "\"";
    for (const char each : text) {
        if (each == '"' || each == '\\') {
            made += '\\';
        }
        made += each;
    }
    return made + "\"";
}

/** Objects by kind and name, their contents as JSON text; lists, watches, and conditional writes, as the pages tell them. */
class Store
{
public:
    Store()
        : m_listener("127.0.0.1", [this](int fd) { serve(fd); })
    {
    }

    std::string address() const
    {
        return m_listener.address();
    }
    /** A write of the operator or of a worker; the returned moment is its acknowledgement. */
    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        write(kind, name, spec);
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        erase(kind, name);
    }

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string spec;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };

    static std::string textOf(const std::string &name, const Object &object)
    {
        return "{\"metadata\":{\"name\":" + quoted(name) + ",\"revision\":" + std::to_string(object.revision) + ",\"created\":" + std::to_string(object.created)
            + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec + ",\"status\":null}";
    }
    void write(const std::string &kind, const std::string &name, const std::string &spec)
    {
        Object &object = m_objects[kind][name];
        if (object.revision != 0 && object.spec == spec) {
            return;
        }
        object.revision = ++m_revision;
        object.created = object.created == 0 ? m_revision : object.created;
        object.spec = spec;
        m_events.push_back({m_revision, kind, "{\"removed\":false,\"object\":" + textOf(name, object) + "}"});
        m_changed.notify_all();
    }
    void erase(const std::string &kind, const std::string &name)
    {
        const auto found = m_objects[kind].find(name);
        if (found == m_objects[kind].end()) {
            return;
        }
        ++m_revision;
        m_events.push_back({m_revision, kind, "{\"removed\":true,\"object\":" + textOf(name, found->second) + "}"});
        m_objects[kind].erase(found);
        m_changed.notify_all();
    }
    static std::string decoded(const std::string &text)
    {
        std::string made;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                made += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                made += text[i];
            }
        }
        return made;
    }
    static std::string queryValue(const std::string &query, const std::string &key)
    {
        std::istringstream parts(query);
        std::string part;
        while (std::getline(parts, part, '&')) {
            if (part.rfind(key + "=", 0) == 0) {
                return decoded(part.substr(key.size() + 1));
            }
        }
        return {};
    }
    /** The text of a member of the call's document, which this project's hosts write without spaces. @return empty if it is missing */
    static std::string member(const std::string &body, const std::string &key)
    {
        const std::size_t at = body.find("\"" + key + "\":");
        if (at == std::string::npos) {
            return {};
        }
        std::size_t begin = at + key.size() + 3;
        std::size_t end = begin;
        if (body[begin] == '"') {
            for (end = begin + 1; end < body.size() && body[end] != '"'; ++end) {
                end += body[end] == '\\' ? 1 : 0;
            }
            return body.substr(begin, end + 1 - begin);
        }
        end = body.find_first_of(",}", begin);
        return body.substr(begin, end - begin);
    }
    static std::string unquoted(const std::string &text)
    {
        return text.size() >= 2 ? text.substr(1, text.size() - 2) : std::string();
    }

    void serve(int fd)
    {
        Reader reader(fd);
        while (const std::optional<Message> call = reader.next()) {
            sleepMs(4); // as the deployments' store
            if (!sendAll(fd, answer(*call))) {
                break;
            }
        }
        close(fd);
    }

    static std::string jsonAnswer(const std::string &status, const std::string &body)
    {
        return answerText(status, "Content-Type: application/json\r\n", body);
    }

    std::string answer(const Message &call)
    {
        const std::string method = call.word(0);
        const std::string target = call.word(1);
        const std::string path = target.substr(0, target.find('?'));
        const std::string query = target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1);
        const std::string prefix = "/objects/";
        if (path.rfind(prefix, 0) != 0) {
            return jsonAnswer("404 Not Found", "{}");
        }
        const std::string rest = path.substr(prefix.size());
        const std::string kind = decoded(rest.substr(0, rest.find('/')));
        const std::string name = rest.find('/') == std::string::npos ? "" : decoded(rest.substr(rest.find('/') + 1));
        std::unique_lock<std::mutex> lock(m_mutex);
        if (method == "GET" && name.empty()) {
            return query.find("watch=") == std::string::npos ? list(kind, queryValue(query, "after")) : watch(kind, query, lock);
        }
        const auto found = m_objects[kind].find(method == "POST" ? unquoted(member(call.body, "name")) : name);
        const bool exists = found != m_objects[kind].end();
        if (method == "GET") {
            return exists ? jsonAnswer("200 OK", textOf(name, found->second)) : jsonAnswer("404 Not Found", "{}");
        }
        if (method == "POST") {
            if (exists) {
                return jsonAnswer("409 Conflict", textOf(found->first, found->second));
            }
            const std::string made = unquoted(member(call.body, "name"));
            write(kind, made, member(call.body, "spec"));
            return jsonAnswer("201 Created", textOf(made, m_objects[kind][made]));
        }
        if (!exists) {
            return jsonAnswer("404 Not Found", "{}");
        }
        const std::string condition = method == "PUT" ? member(call.body, "revision") : queryValue(query, "revision");
        if (!condition.empty() && condition != std::to_string(found->second.revision)) {
            return jsonAnswer("409 Conflict", textOf(name, found->second));
        }
        if (method == "DELETE") {
            const std::string text = textOf(name, found->second);
            erase(kind, name);
            return jsonAnswer("200 OK", text);
        }
        write(kind, name, member(call.body, "spec"));
        return jsonAnswer("200 OK", textOf(name, m_objects[kind][name]));
    }
    std::string list(const std::string &kind, const std::string &after)
    {
        std::string entries;
        for (const auto &[name, object] : m_objects[kind]) {
            if (after.empty() || name > after) {
                entries += (entries.empty() ? "" : ",") + textOf(name, object);
            }
        }
        return jsonAnswer("200 OK", "{\"entries\":[" + entries + "],\"hasMore\":false,\"asOf\":" + std::to_string(m_revision) + "}");
    }
    std::string watch(const std::string &kind, const std::string &query, std::unique_lock<std::mutex> &lock)
    {
        const std::uint64_t since = std::stoull(queryValue(query, "watch"));
        const std::string wait = queryValue(query, "waitMs");
        const auto collect = [&] {
            std::string events;
            for (const Event &event : m_events) {
                if (event.kind == kind && event.revision > since) {
                    events += (events.empty() ? "" : ",") + event.text;
                }
            }
            return events;
        };
        m_changed.wait_for(lock, std::chrono::milliseconds(wait.empty() ? 0 : std::stol(wait)), [&] { return !collect().empty(); });
        return jsonAnswer("200 OK", "{\"events\":[" + collect() + "],\"asOf\":" + std::to_string(m_revision) + "}");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 100;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    Listener m_listener;
};

// Workers

/** A request that a worker has read whole. */
struct Arrival
{
    Message request;
    std::string instance;
};

/** A worker: `serve` makes the whole answer, and what it returns first says whether the worker ran the request. */
class Worker
{
public:
    Worker(std::string instance, std::string ip, std::function<std::string(const Arrival &)> serve)
        : m_instance(std::move(instance))
        , m_serve(std::move(serve))
        , m_listener(ip, [this](int fd) { run(fd); })
    {
    }
    std::string entry(const std::string &service, const std::string &zone, int slots) const
    {
        return "{\"service\":" + quoted(service) + ",\"address\":" + quoted(m_listener.address()) + ",\"zone\":" + quoted(zone)
            + ",\"version\":\"v1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"ready\",\"coldLeftMs\":0,\"seqNo\":1}";
    }
    const std::string &instance() const
    {
        return m_instance;
    }

private:
    void run(int fd)
    {
        Reader reader(fd);
        while (const std::optional<Message> request = reader.next()) {
            const std::string expected = request->field("Expect-Instance");
            std::string bytes;
            if (!expected.empty() && expected != m_instance) {
                bytes = answerText("421 Misdirected Request", "Instance-Id: " + m_instance + "\r\n", "");
            } else if (request->word(1) == "/healthz") {
                bytes = answerText("200 OK", "Instance-Id: " + m_instance + "\r\n", "");
            } else {
                bytes = m_serve({*request, m_instance});
            }
            if (!sendAll(fd, bytes)) {
                break;
            }
        }
        close(fd);
    }

    std::string m_instance;
    std::function<std::string(const Arrival &)> m_serve;
    Listener m_listener;
};

// Hosts

/** A host's process, started as the deploy file does, with settings as its template makes them. */
class Host
{
public:
    Host(std::string name, std::string zone, std::string ip, std::string folder, std::string store, std::vector<std::string> seeds)
        : m_name(std::move(name))
        , m_zone(std::move(zone))
        , m_ip(std::move(ip))
        , m_folder(std::move(folder))
        , m_store(std::move(store))
        , m_seeds(std::move(seeds))
    {
    }
    ~Host()
    {
        end();
    }
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    static constexpr int callersPort = 8227;
    static constexpr int readyPort = 8220;
    static constexpr int controlPort = 8229;
    static constexpr int peersPort = 7340;
    static constexpr int metricsPort = 9464;

    static bool hasFreePorts(const std::string &ip)
    {
        for (const int port : {callersPort, readyPort, controlPort, peersPort, metricsPort}) {
            if (!isFree(ip, port, SOCK_STREAM) || !isFree(ip, port, SOCK_DGRAM)) {
                return false;
            }
        }
        return true;
    }
    void start(bool isFirstStart)
    {
        writeSettings(isFirstStart);
        const std::string settings = settingsPath();
        const std::string log = m_folder + "/" + m_name + "." + std::to_string(++m_starts) + ".log";
        m_pid = fork();
        startedProcesses().insert(m_pid);
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
            dup2(out, STDOUT_FILENO);
            dup2(out, STDERR_FILENO);
            setenv("RHUBARBWIND_NODE_FILE", settings.c_str(), 1);
            execl("target/rhubarbwindd", "target/rhubarbwindd", "--settings", settings.c_str(), static_cast<char *>(nullptr));
            _exit(127);
        }
    }
    void signal(int number) const
    {
        if (m_pid > 0) {
            kill(m_pid, number);
        }
    }
    /** True if the process has ended; then it is reaped. */
    bool hasEnded()
    {
        int status = 0;
        if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
            startedProcesses().erase(m_pid);
            m_pid = -1;
            m_status = status;
        }
        return m_pid <= 0;
    }
    int status() const
    {
        return m_status;
    }
    void end()
    {
        if (m_pid > 0) {
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
            startedProcesses().erase(m_pid);
            m_pid = -1;
        }
    }
    const std::string &ip() const
    {
        return m_ip;
    }
    const std::string &name() const
    {
        return m_name;
    }

private:
    std::string settingsPath() const
    {
        return m_folder + "/" + m_name + ".json";
    }
    std::string at(int port) const
    {
        return quoted(m_ip + ":" + std::to_string(port));
    }
    void writeSettings(bool isFirstStart) const
    {
        std::string seeds;
        for (const std::string &seed : m_seeds) {
            seeds += (seeds.empty() ? "" : ",") + quoted(seed + ":" + std::to_string(controlPort));
        }
        std::ofstream file(settingsPath());
        file << "{\"host\": " << quoted(m_name) << ", \"domain\": " << quoted(m_zone) << ", \"callers\": " << at(callersPort)
             << ", \"admin\": " << at(metricsPort) << ", \"peers\": " << at(peersPort) << ",\n \"peer_secret\": " << quoted("rhubarbwind " + m_store)
             << ",\n \"platform\": {\"address\": " << quoted(m_store)
             << ", \"timeout_ms\": 1000},\n \"drain\": {\"balancer_delay_ms\": 2500, \"limit_ms\": 4800, \"grace_s\": 8},\n \"gateway\": {\"ready\": "
             << at(readyPort) << ", \"seeds\": [" << seeds
             << "], \"descriptors\": 4100, \"memory_mb\": 260, \"endpoint_speed\": \"learn\", \"pause_forecast\": \"off\","
             << " \"customer_shares\": \"auto\", \"slot_wait\": \"auto\",\n \"platform_features\": "
                "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
             << "\"engine\",\"stream\",\"tenants\",\"platform\"], " << (isFirstStart ? "\"first_start\": true, " : "") << "\"endpoint_heartbeat_ms\": 1200},\n"
             << " \"logs\": {\"layout\": \"json\", \"level\": \"info\"}}\n";
    }

    std::string m_name;
    std::string m_zone;
    std::string m_ip;
    std::string m_folder;
    std::string m_store;
    std::vector<std::string> m_seeds;
    pid_t m_pid = -1;
    int m_status = 0;
    int m_starts = 0;
};

/** Loopback addresses with the deployments' ports free on each. */
inline std::vector<std::string> freeHostAddresses(std::size_t count)
{
    const int first = static_cast<int>(getpid() % 200) + 20;
    for (int net = 0; net < 200; ++net) {
        std::vector<std::string> found;
        for (std::size_t i = 0; i < count; ++i) {
            const std::string ip = "127." + std::to_string(20 + (first + net) % 200) + ".7." + std::to_string(11 + i);
            if (Host::hasFreePorts(ip)) {
                found.push_back(ip);
            }
        }
        if (found.size() == count) {
            return found;
        }
    }
    cannotRun("no free ports");
}

// Consumers

inline int connectTo(const std::string &ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

/** A connection whose segments and windows are those of a network rather than of a loopback interface. */
inline int connectSlowly(const std::string &ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int segment = 1448;
    const int window = 32 * 1024;
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    const sockaddr_in address = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/** One request on a new channel. @return the answer's status; 0 if there was none */
inline int ask(const std::string &ip, int port, const std::string &request, long timeoutMs, Message *answer = nullptr)
{
    const int fd = connectTo(ip, port);
    if (fd < 0) {
        return 0;
    }
    int status = 0;
    if (sendAll(fd, request)) {
        Reader reader(fd);
        if (const std::optional<Message> read = reader.next(timeoutMs)) {
            status = std::atoi(read->word(1).c_str());
            if (answer != nullptr) {
                *answer = *read;
            }
        }
    }
    close(fd);
    return status;
}

inline bool isReady(const Host &host)
{
    return ask(host.ip(), Host::readyPort, "GET /readyz HTTP/1.1\r\nHost: " + host.ip() + "\r\nConnection: close\r\n\r\n", 1000) == 200;
}

inline bool waitUntil(const std::function<bool()> &condition, long timeoutMs)
{
    for (const long end = sinceStartMs() + timeoutMs; sinceStartMs() < end; sleepMs(50)) {
        if (condition()) {
            return true;
        }
    }
    return false;
}

/** The first argument of a case: the path of its record.txt; the second one: a temporary folder. */
struct Arguments
{
    std::string record;
    std::string temporary;
    bool hasTrouble = true;
};

inline Arguments argumentsOf(int argc, char **argv)
{
    if (argc < 3) {
        cannotRun("usage: CASE RECORD TEMPORARY_FOLDER");
    }
    ::signal(SIGPIPE, SIG_IGN);
    startOfRun();
    std::thread([] {
        constexpr long limitMs = 110'000;
        sleepMs(limitMs);
        cannotRun("it takes too long");
    }).detach();
    const char *trouble = std::getenv("TROUBLE");
    return {argv[1], argv[2], trouble == nullptr || std::string(trouble) != "0"};
}

} // namespace Review
