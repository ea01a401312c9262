#include "standins/FaultProxy.h"

#include "wire/generated/Peer.capnp.h"

#include <capnp/rpc.capnp.h>
#include <capnp/serialize.h>

#include <cstring>

namespace eelgrass::standins {

namespace {

constexpr auto bufferSize = std::size_t(65536);
constexpr auto controlBodyLimit = std::size_t(65536);
constexpr auto frozenPoll = Duration(2ms);
// Chunks that come within this time can change places.
constexpr auto gatherTime = Duration(20ms);

auto words(const std::string& message) -> kj::Array<capnp::word>
{
    auto copy = kj::heapArray<capnp::word>(message.size() / sizeof(capnp::word));
    std::memcpy(copy.begin(), message.data(), message.size());
    return copy;
}

/// Size of the message that `bytes` begins with; 0 while it is not whole.
auto messageSize(const std::string& bytes) -> std::size_t
{
    auto whole = bytes.substr(0, bytes.size() / sizeof(capnp::word) * sizeof(capnp::word));
    if (whole.empty())
        return 0;
    const auto aligned = words(whole);
    const auto size = capnp::expectedSizeInWordsFromPrefix(aligned) * sizeof(capnp::word);
    return size <= whole.size() ? size : 0;
}

auto isChunk(const std::string& message) -> bool
{
    const auto aligned = words(message);
    auto reader = capnp::FlatArrayMessageReader(aligned);
    const auto root = reader.getRoot<capnp::rpc::Message>();
    return root.isCall() && root.getCall().getInterfaceId() == capnp::typeId<wire::schema::ChunkSink>();
}

} // namespace

FaultProxy::FaultProxy(wire::MainLoop& loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , listener_(options_.address, options_.port, [this](auto stream) { accept(kj::mv(stream)); })
    , server_(options_.address, 0, controlBodyLimit, [this](auto& exchange) { control(exchange); })
{
}

auto FaultProxy::accept(kj::Own<wire::GlibStream> near) -> void
{
    if (refuse_)
        return;
    const auto id = accepted_++;
    auto& link = *(links_[id] = std::make_unique<Link>());
    link.near = kj::mv(near);
    link.reordered = reorder_;
    link.work = thawed()
                    .then([this] { return wire::connectTo(options_.upstreamAddress, options_.upstream); })
                    .then([this, &link](kj::Own<wire::GlibStream> far) {
                        link.far = kj::mv(far);
                        return carryBoth(link);
                    })
                    .catch_([](kj::Exception&&) {})
                    // Freed in a later turn: this promise is part of the link.
                    .then([this, id] { loop_.spawn(kj::evalLater([this, id] { links_.erase(id); })); })
                    .eagerlyEvaluate(nullptr);
}

auto FaultProxy::carryBoth(Link& link) -> kj::Promise<void>
{
    auto both = kj::heapArrayBuilder<kj::Promise<void>>(2);
    both.add(carry(link, Up));
    both.add(carry(link, Down));
    auto broken = kj::newPromiseAndFulfiller<void>();
    auto fulfiller = kj::heap(kj::mv(broken.fulfiller));
    auto watched = kj::heapArrayBuilder<kj::Promise<void>>(2);
    for (auto& one : both)
        watched.add(one.catch_([&fulfiller = **fulfiller](kj::Exception&&) { fulfiller.fulfill(); }));
    return kj::joinPromises(watched.finish()).exclusiveJoin(kj::mv(broken.promise)).attach(kj::mv(fulfiller));
}

auto FaultProxy::silentOn(const Link& link, Direction direction) const -> bool
{
    return link.lost || link.cutShort.at(direction) || silent_.at(direction);
}

auto FaultProxy::swallows(Link& link, Direction direction) const -> bool
{
    link.cutShort.at(direction) = silentOn(link, direction);
    return link.cutShort.at(direction);
}

auto FaultProxy::thawed() -> kj::Promise<void>
{
    if (!frozen_)
        return kj::READY_NOW;
    return loop_.sleep(frozenPoll).then([this] { return thawed(); });
}

auto FaultProxy::carry(Link& link, Direction direction) -> kj::Promise<void>
{
    auto& from = direction == Up ? *link.near : *link.far;
    auto& buffer = link.buffer.at(direction);
    buffer.resize(bufferSize);
    auto pause = link.reordered ? loop_.sleep(gatherTime) : kj::Promise<void>(kj::READY_NOW);
    return pause.then([&from, &buffer] { return from.tryRead(buffer.data(), 1, buffer.size()); })
        .then(
            [this, &link, &buffer, direction](std::size_t size) -> kj::Promise<void> {
                if (size > 0)
                    return deliver(link, direction, std::string(buffer.data(), size));
                if (silentOn(link, direction))
                    return kj::NEVER_DONE;
                return thawed().then([&link, direction] { (direction == Up ? link.far : link.near)->shutdownWrite(); });
            },
            [this, &link, direction](kj::Exception&& lost) -> kj::Promise<void> {
                if (silentOn(link, direction))
                    return kj::NEVER_DONE;
                return kj::mv(lost);
            });
}

auto FaultProxy::deliver(Link& link, Direction direction, std::string bytes) -> kj::Promise<void>
{
    if (swallows(link, direction))
        return carry(link, direction);
    auto held = delay_.count() > 0 ? loop_.sleep(delay_) : kj::Promise<void>(kj::READY_NOW);
    return held.then([this] { return thawed(); })
        .then([this, &link, direction, bytes = std::move(bytes)]() mutable -> kj::Promise<void> {
            // What went silent meanwhile swallows this piece too.
            if (swallows(link, direction))
                return kj::READY_NOW;
            if (link.reordered && direction == Down)
                bytes = reorder(link, bytes);
            auto& to = direction == Up ? *link.far : *link.near;
            auto owned = kj::heap<std::string>(std::move(bytes));
            auto& text = *owned;
            return to.write(text.data(), text.size()).attach(kj::mv(owned));
        })
        .then([this, &link, direction] { return carry(link, direction); });
}

auto FaultProxy::reorder(Link& link, const std::string& bytes) -> std::string
{
    auto& partial = link.partial.at(Down);
    partial += bytes;
    auto messages = std::vector<std::string>();
    for (auto size = messageSize(partial); size > 0; size = messageSize(partial)) {
        messages.push_back(partial.substr(0, size));
        partial.erase(0, size);
    }
    for (auto index = std::size_t(1); index < messages.size(); ++index) {
        if (!isChunk(messages[index - 1]) || !isChunk(messages[index]))
            continue;
        std::swap(messages[index - 1], messages[index]);
        ++swapped_;
        ++index;
    }
    auto out = std::string();
    for (const auto& message : messages)
        out += message;
    return out;
}

auto FaultProxy::apply(const nlohmann::json& body) -> void
{
    options_.upstream = body.value("upstream", options_.upstream);
    if (body.contains("delay_ms"))
        delay_ = std::chrono::milliseconds(body["delay_ms"].get<int>());
    refuse_ = body.value("refuse", refuse_);
    frozen_ = body.value("freeze", frozen_);
    reorder_ = body.value("reorder", reorder_);
    if (body.contains("silent")) {
        const auto way = body["silent"].get<std::string>();
        silent_ = { way == "up" || way == "both", way == "down" || way == "both" };
    }
    if (body.value("half_open", false)) {
        for (auto& [id, link] : links_)
            link->lost = true;
    }
    if (body.value("cut", false))
        links_.clear();
}

auto FaultProxy::control(const wire::HttpExchangePtr& exchange) -> void
{
    apply(bodyOf(exchange));
    answer(exchange, 200, { { "accepted", accepted_ }, { "open", links_.size() }, { "swapped", swapped_ } });
}

} // namespace eelgrass::standins
