#pragma once

// Three hosts before three workers of an application service, as in a small deployment.

#include "world.h"

namespace Review
{

struct Run
{
    std::string attempt;
    std::string key;
    std::string tenant;
    int status = 0; ///< of the worker's answer
    long atMs = 0;
};

class SmallSite
{
public:
    /** @param serve makes a worker's answer to an arrival that it runs; it must call ran() */
    SmallSite(const Arguments &arguments, std::function<std::string(SmallSite &, const Arrival &)> serve)
        : record(arguments.record)
    {
        const std::vector<std::string> addresses = freeHostAddresses(3);
        const std::vector<std::string> zones{"zone-a", "zone-b", "zone-c"};
        for (std::size_t i = 0; i < zones.size(); ++i) {
            const std::string instance = "i-5eed000" + std::to_string(i);
            workers.push_back(std::make_unique<Worker>(instance, "127.0.0.1", [this, serve](const Arrival &arrival) { return serve(*this, arrival); }));
            store.put("servers", instance, workers.back()->entry("portal", zones[i], 6));
        }
        for (std::size_t i = 0; i < zones.size(); ++i) {
            hosts.push_back(std::make_unique<Host>("frontend-" + zones[i] + "-1", zones[i], addresses[i], arguments.temporary, store.address(), addresses));
        }
    }

    /** The desired state. @param tenants and quoteTimeout: JSON texts of their members  @param version of it */
    static std::string desiredState(int version, const std::string &tenants, const std::string &quoteTimeout)
    {
        return "{\"version\":" + std::to_string(version)
            + ",\"routes\":[{\"name\":\"quotes\",\"hostname\":\"site.example\",\"pathPrefix\":\"/quotes/\",\"routeType\":\"unsafe\",\"timeoutMs\":"
            + quoteTimeout
            + ","
              "\"goalMs\":300,\"priority\":2,\"service\":\"portal\",\"maxAttempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false},"
              "{\"name\":\"status\",\"hostname\":\"site.example\",\"pathPrefix\":\"/status/\",\"routeType\":\"safe\",\"timeoutMs\":3000,"
              "\"goalMs\":300,\"priority\":2,\"service\":\"portal\",\"maxAttempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}],"
              "\"services\":[{\"name\":\"portal\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],"
              "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":"
            + tenants + "}";
    }
    void operatorWrites(int version, const std::string &tenants, const std::string &quoteTimeout = "3000")
    {
        store.put("config", "main", desiredState(version, tenants, quoteTimeout));
        record.line("operator: desired state " + std::to_string(version) + " acknowledged, tenants " + tenants.substr(0, 200) + ", timeoutMs " + quoteTimeout);
    }
    void startHosts()
    {
        for (const std::unique_ptr<Host> &host : hosts) {
            host->start(true);
        }
        if (!waitUntil([this] { return std::ranges::all_of(hosts, [](const std::unique_ptr<Host> &host) { return isReady(*host); }); }, 15'000)) {
            cannotRun("the hosts don't become ready");
        }
        record.line("hosts: all ready");
    }
    std::string nextAttempt()
    {
        char text[32];
        std::snprintf(text, sizeof(text), "a77e%012x", ++m_attempts);
        return text;
    }
    /** @param key empty: none  @return the answer's status */
    int send(const Host &host, const std::string &attempt, const std::string &key, const std::string &method, const std::string &path)
    {
        const std::string body = method == "POST" ? "{\"track\":7}" : "";
        std::string request = method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: 3000\r\n";
        request += key.empty() ? "" : "Authorization: Bearer " + key + "\r\n";
        request += body.empty() ? "\r\n" : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        const int status = ask(host.ip(), Host::callersPort, request, 4000);
        record.line("consumer: " + attempt + " " + method + " " + path + " key '" + key + "' at " + host.name() + ": " + std::to_string(status));
        return status;
    }
    void ran(const Arrival &arrival, int status)
    {
        const std::string attempt = arrival.request.field("Attempt-Id");
        record.line("worker " + arrival.instance + ": ran " + attempt + ", tenant '" + arrival.request.field("Tenant") + "', answers "
                    + std::to_string(status));
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_runs[attempt].push_back({attempt, "", arrival.request.field("Tenant"), status, sinceStartMs()});
    }
    std::vector<Run> runsOf(const std::string &attempt)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_runs[attempt];
    }

    Record record;
    Store store;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Host>> hosts;

private:
    std::mutex m_mutex;
    std::map<std::string, std::vector<Run>> m_runs;
    unsigned m_attempts = 0;
};

/** A worker's whole answer to a request that it ran. */
inline std::string workerAnswer(const Arrival &arrival, const std::string &status, const std::string &body)
{
    const std::string attempt = arrival.request.field("Attempt-Id");
    return answerText(status, "Attempt-Id: " + attempt + "\r\nResponse-Seal: 1." + attempt + "\r\nLoad: 1,0,6\r\n", body);
}

} // namespace Review
