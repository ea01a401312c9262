// Whether a rest that a replica asks one host for should hold for others too, with few entries and with many.
//
// Some replicas turn away a share of the requests of some hosts for a while, and ask each host that they turn away for
// rest. Each request goes to a replica drawn from those that its entry may send to, and to another one if it is turned
// away.
#include "decisions/CircuitBreaker.h"
#include "decisions/RequestedRest.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <random>
#include <string_view>
#include <vector>

using namespace eelgrass;
using eelgrass::decisions::CircuitBreaker;
using eelgrass::decisions::RequestedRest;

namespace {

constexpr auto begin = Moment(1000s);
constexpr auto duration = Duration(20s);
constexpr auto tick = Duration(1ms);
constexpr auto restLength = Duration(3s);
constexpr auto requestsPerReplica = 15.0;
constexpr auto maxSends = 4;
/// How long news takes to other entries.
constexpr auto newsDelay = Duration(100ms);

struct Case {
    std::size_t entries;
    std::size_t replicas;
    /// Share of the replicas that turn requests away, of the hosts that they do so to, and of the requests.
    double replicaShare;
    double hostShare;
    double requestShare;
};

struct Result {
    std::size_t requests = 0;
    std::size_t served = 0;
    std::size_t turnedAway = 0;
    /// Greatest number of requests in a second that a replica was sent which turns none away.
    std::size_t peak = 0;
    /// Requests that the other replicas served in place of one that would have served them.
    std::size_t avoided = 0;
};

/// Who hears of a rest that a replica has asked one host for.
enum class Sharing {
    Nobody,
    /// All others rest too.
    Rest,
    /// The replica's agent counts a failure, and all others prefer other replicas as much as it fails.
    FailureShare,
};

auto toString(Sharing sharing) -> const char*
{
    switch (sharing) {
    case Sharing::Nobody:
        return "one host";
    case Sharing::Rest:
        return "all hosts";
    case Sharing::FailureShare:
        break;
    }
    return "counted";
}

struct News {
    Moment at;
    std::size_t replica;
};

class Play {
public:
    Play(const Case& setting, Sharing sharing)
        : setting_(setting)
        , sharing_(sharing)
        , rests_(setting.entries, std::vector<RequestedRest>(setting.replicas))
        , breakers_(setting.replicas)
        , arrivals_(setting.replicas, std::vector<std::size_t>(static_cast<std::size_t>(duration / 1s) + 1))
        , shedding_(static_cast<std::size_t>(setting.replicaShare * static_cast<double>(setting.replicas)))
        , shedHosts_(static_cast<std::size_t>(std::lround(setting.hostShare * static_cast<double>(setting.entries))))
    {
    }

    auto run() -> Result
    {
        const auto perTick
            = requestsPerReplica * static_cast<double>(setting_.replicas) * std::chrono::duration<double>(tick).count();
        auto arrivals = std::poisson_distribution<std::size_t>(perTick);
        for (auto now = begin; now < begin + duration; now += tick) {
            spread(now);
            const auto count = arrivals(random_);
            for (auto index = std::size_t(0); index < count; ++index)
                request(now);
        }
        for (auto replica = shedding_; replica < setting_.replicas; ++replica)
            result_.peak
                = std::max(result_.peak, *std::max_element(arrivals_[replica].begin(), arrivals_[replica].end()));
        return result_;
    }

private:
    auto below(std::size_t limit) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random_);
    }

    auto rest(std::size_t entry, std::size_t replica, Moment now) -> void
    {
        const auto position = static_cast<double>(entry) / static_cast<double>(setting_.entries);
        rests_[entry][replica].ask(restLength, RequestedRest::startDelay(restLength, setting_.entries, position), now);
    }

    auto spread(Moment now) -> void
    {
        std::erase_if(news_, [&](const News& item) {
            if (item.at > now)
                return false;
            for (auto entry = std::size_t(0); entry < setting_.entries; ++entry)
                rest(entry, item.replica, now);
            return true;
        });
    }

    /// A replica that the entry may send to; the number of replicas if there is none after some tries.
    auto choose(std::size_t entry, Moment now) -> std::size_t
    {
        constexpr auto tries = 50;
        for (auto count = 0; count < tries; ++count) {
            const auto replica = below(setting_.replicas);
            const auto avoided = sharing_ == Sharing::FailureShare
                && std::bernoulli_distribution(breakers_[replica].failureShare(now))(random_);
            if (!avoided && rests_[entry][replica].allows(now))
                return replica;
            const auto wouldServe = replica >= shedding_ || entry >= shedHosts_;
            result_.avoided += wouldServe ? 1 : 0;
        }
        return setting_.replicas;
    }

    auto request(Moment now) -> void
    {
        const auto entry = below(setting_.entries);
        ++result_.requests;
        for (auto sends = 0; sends < maxSends; ++sends) {
            const auto replica = choose(entry, now);
            if (replica == setting_.replicas)
                return;
            rests_[entry][replica].recordSend(now);
            ++arrivals_[replica][static_cast<std::size_t>((now - begin) / 1s)];
            const auto sheds = replica < shedding_ && entry < shedHosts_
                && std::bernoulli_distribution(setting_.requestShare)(random_);
            if (!sheds) {
                breakers_[replica].succeeded(now, now);
                ++result_.served;
                return;
            }
            ++result_.turnedAway;
            breakers_[replica].failed(now);
            rest(entry, replica, now);
            if (sharing_ == Sharing::Rest)
                news_.push_back({ now + newsDelay, replica });
        }
    }

    Case setting_;
    Sharing sharing_;
    std::mt19937_64 random_ { 1 };
    std::vector<std::vector<RequestedRest>> rests_;
    std::vector<CircuitBreaker> breakers_;
    std::vector<std::vector<std::size_t>> arrivals_;
    std::vector<News> news_;
    std::size_t shedding_;
    std::size_t shedHosts_;
    Result result_;
};

} // namespace

auto main() -> int
{
    static constexpr auto cases = std::array {
        Case { 3, 9, 0.34, 1, 1 },
        Case { 3, 9, 0.34, 1, 0.4 },
        Case { 3, 9, 0.34, 0.34, 0.4 },
        Case { 400, 640, 0.15, 1, 1 },
        Case { 400, 640, 0.15, 1, 0.4 },
        Case { 400, 640, 0.15, 0.34, 0.4 },
    };
    std::printf(
        "entries replicas turn away of hosts share | rest of      requests unserved turned_away peak_per_s avoided\n");
    for (const auto& setting : cases) {
        for (const auto sharing : { Sharing::Nobody, Sharing::Rest, Sharing::FailureShare }) {
            const auto result = Play(setting, sharing).run();
            std::printf("%7zu %8zu %9.2f %8.2f %5.2f | %-9s %11zu %8zu %11zu %10zu %7zu\n", setting.entries,
                setting.replicas, setting.replicaShare, setting.hostShare, setting.requestShare, toString(sharing),
                result.requests, result.requests - result.served, result.turnedAway, result.peak, result.avoided);
        }
    }
    return 0;
}
