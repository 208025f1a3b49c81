/*
 * Fault injection for the sockets of one process, loaded with LD_PRELOAD.
 *
 * Environment:
 *   FAULT_RULES   CALL:FAULT:SIDE:ONE_IN:BURST, separated by ';'. CALL is the name of a system call; read and write stand for recv and
 *                 send too, epoll_add and epoll_mod for the two operations of epoll_ctl that arm a descriptor. FAULT is the name of an errno, or SHORT for a transfer of a few
 *                 bytes. SIDE is client, backend, discovery, peer, other or any. One call in ONE_IN fails, and the BURST - 1 calls
 *                 of the same rule that follow it.
 *   FAULT_PORTS   client=PORT,discovery=PORT: how sockets are told apart. Other outgoing connections are to backends.
 *   FAULT_SEED    seeds the choice of calls.
 *   FAULT_LOG     one line is appended for each injected fault: CALL FAULT SIDE.
 *   FAULT_SWITCH  a file of one byte, mapped shared: faults are injected while it is '1'.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <unistd.h>

enum side { SIDE_NONE, SIDE_CLIENT, SIDE_BACKEND, SIDE_DISCOVERY, SIDE_PEER, SIDE_OTHER, SIDE_ANY };
static const char *const SIDE_NAMES[] = {"none", "client", "backend", "discovery", "peer", "other", "any"};

struct error_name { const char *name; int number; };
static const struct error_name ERRORS[] = {
    {"EINTR", EINTR}, {"EAGAIN", EAGAIN}, {"ENOBUFS", ENOBUFS}, {"ENOMEM", ENOMEM}, {"EMFILE", EMFILE}, {"ENFILE", ENFILE},
    {"EADDRNOTAVAIL", EADDRNOTAVAIL}, {"ENETUNREACH", ENETUNREACH}, {"EHOSTUNREACH", EHOSTUNREACH}, {"ETIMEDOUT", ETIMEDOUT},
    {"ECONNREFUSED", ECONNREFUSED}, {"ECONNRESET", ECONNRESET}, {"ECONNABORTED", ECONNABORTED}, {"EPIPE", EPIPE}, {"EIO", EIO},
    {"EINVAL", EINVAL}, {"EPERM", EPERM}, {"EACCES", EACCES}, {"EPROTO", EPROTO}, {"ENETDOWN", ENETDOWN}, {"ENOSPC", ENOSPC},
    {"ENOTCONN", ENOTCONN}, {"EADDRINUSE", EADDRINUSE}, {"EOPNOTSUPP", EOPNOTSUPP}, {"ENONET", ENONET}, {"EHOSTDOWN", EHOSTDOWN},
    {"ENOPROTOOPT", ENOPROTOOPT}, {"EMSGSIZE", EMSGSIZE}, {"EDQUOT", EDQUOT},
};

#define SHORT_TRANSFER (-1)
#define MAX_SHORT_BYTES 16
#define MAX_RULES 64
#define MAX_DESCRIPTORS 65536

struct rule {
    char call[16];
    char fault_name[20];
    int fault;
    int side;
    unsigned one_in;
    int burst;
    atomic_int burst_left;
};

static struct rule rules[MAX_RULES];
static int rule_count;
static volatile char *enabled;
static int log_descriptor = -1;
static uint64_t seed;
static atomic_ullong draws;
static unsigned char sides[MAX_DESCRIPTORS];
static int client_port, discovery_port;

static uint64_t draw(void) {
    uint64_t z = seed + atomic_fetch_add(&draws, 1) * 0x9E3779B97F4A7C15ULL;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
}

static int side_named(const char *name) {
    for (int i = SIDE_CLIENT; i <= SIDE_ANY; i++) {
        if (strcmp(SIDE_NAMES[i], name) == 0) return i;
    }
    fprintf(stderr, "fault shim: unknown side %s\n", name);
    _exit(97);
}

static int error_named(const char *name) {
    if (strcmp(name, "SHORT") == 0) return SHORT_TRANSFER;
    for (size_t i = 0; i < sizeof ERRORS / sizeof ERRORS[0]; i++) {
        if (strcmp(ERRORS[i].name, name) == 0) return ERRORS[i].number;
    }
    fprintf(stderr, "fault shim: unknown fault %s\n", name);
    _exit(97);
}

static void parse_rules(char *text) {
    char *rest = NULL;
    for (char *item = strtok_r(text, ";", &rest); item; item = strtok_r(NULL, ";", &rest)) {
        char side[16];
        struct rule *rule = &rules[rule_count++];
        if (rule_count > MAX_RULES
                || sscanf(item, "%15[^:]:%19[^:]:%15[^:]:%u:%d", rule->call, rule->fault_name, side, &rule->one_in, &rule->burst) != 5) {
            fprintf(stderr, "fault shim: not CALL:FAULT:SIDE:ONE_IN:BURST: %s\n", item);
            _exit(97);
        }
        rule->fault = error_named(rule->fault_name);
        rule->side = side_named(side);
    }
}

__attribute__((constructor)) static void start(void) {
    const char *text = getenv("FAULT_RULES"), *log = getenv("FAULT_LOG"), *control = getenv("FAULT_SWITCH"), *ports = getenv("FAULT_PORTS");
    if (!text || !log || !control) return;
    if (ports) sscanf(ports, "client=%d,discovery=%d", &client_port, &discovery_port);
    seed = getenv("FAULT_SEED") ? strtoull(getenv("FAULT_SEED"), NULL, 10) : 1;
    parse_rules(strdup(text));
    log_descriptor = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    int file = open(control, O_RDONLY | O_CLOEXEC);
    if (log_descriptor < 0 || file < 0) {
        fprintf(stderr, "fault shim: %s or %s cannot be opened\n", log, control);
        _exit(97);
    }
    enabled = mmap(NULL, 1, PROT_READ, MAP_SHARED, file, 0);
    syscall(SYS_close, file);
    if (enabled == MAP_FAILED) enabled = NULL;
}

static int side_of(int descriptor) { return descriptor >= 0 && descriptor < MAX_DESCRIPTORS ? sides[descriptor] : SIDE_NONE; }

static void set_side(int descriptor, int side) {
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS) sides[descriptor] = (unsigned char) side;
}

/* The fault for this call: 0 for none, SHORT_TRANSFER, or an errno. */
static int fault_for(const char *call, int side) {
    if (!enabled || *enabled != '1' || side == SIDE_NONE) return 0;
    for (int i = 0; i < rule_count; i++) {
        struct rule *rule = &rules[i];
        if (strcmp(rule->call, call) != 0 || (rule->side != SIDE_ANY && rule->side != side)) continue;
        int fires = 0;
        if (atomic_load(&rule->burst_left) > 0) {
            atomic_fetch_sub(&rule->burst_left, 1);
            fires = 1;
        } else if (draw() % rule->one_in == 0) {
            atomic_store(&rule->burst_left, rule->burst - 1);
            fires = 1;
        }
        if (!fires) continue;
        char line[80];
        int length = snprintf(line, sizeof line, "%s %s %s\n", call, rule->fault_name, SIDE_NAMES[side]);
        syscall(SYS_write, log_descriptor, line, length);
        return rule->fault;
    }
    return 0;
}

#define REAL(type, name, ...) \
    static type (*real)(__VA_ARGS__); \
    if (!real) real = (type (*)(__VA_ARGS__)) dlsym(RTLD_NEXT, #name)

static size_t shortened(size_t length) {
    size_t most = 1 + draw() % MAX_SHORT_BYTES;
    return length < most ? length : most;
}

/* Fails the call or shortens its length. */
#define INJECT(call, descriptor, length) \
    do { \
        int fault = fault_for(call, side_of(descriptor)); \
        if (fault > 0) { errno = fault; return -1; } \
        if (fault == SHORT_TRANSFER) (length) = shortened(length); \
    } while (0)

ssize_t read(int descriptor, void *bytes, size_t length) {
    REAL(ssize_t, read, int, void *, size_t);
    INJECT("read", descriptor, length);
    return real(descriptor, bytes, length);
}

ssize_t write(int descriptor, const void *bytes, size_t length) {
    REAL(ssize_t, write, int, const void *, size_t);
    INJECT("write", descriptor, length);
    return real(descriptor, bytes, length);
}

ssize_t recv(int descriptor, void *bytes, size_t length, int flags) {
    REAL(ssize_t, recv, int, void *, size_t, int);
    INJECT("read", descriptor, length);
    return real(descriptor, bytes, length, flags);
}

ssize_t send(int descriptor, const void *bytes, size_t length, int flags) {
    REAL(ssize_t, send, int, const void *, size_t, int);
    INJECT("write", descriptor, length);
    return real(descriptor, bytes, length, flags);
}

static int vector_fault(const char *call, int descriptor) {
    int fault = fault_for(call, side_of(descriptor));
    return fault > 0 ? fault : 0;
}

ssize_t readv(int descriptor, const struct iovec *parts, int count) {
    REAL(ssize_t, readv, int, const struct iovec *, int);
    if ((errno = vector_fault("read", descriptor)) != 0) return -1;
    return real(descriptor, parts, count);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count) {
    REAL(ssize_t, writev, int, const struct iovec *, int);
    if ((errno = vector_fault("write", descriptor)) != 0) return -1;
    return real(descriptor, parts, count);
}

ssize_t recvfrom(int descriptor, void *bytes, size_t length, int flags, struct sockaddr *from, socklen_t *from_length) {
    REAL(ssize_t, recvfrom, int, void *, size_t, int, struct sockaddr *, socklen_t *);
    int fault = fault_for("recvfrom", side_of(descriptor));
    if (fault > 0) { errno = fault; return -1; }
    return real(descriptor, bytes, length, flags, from, from_length);
}

ssize_t sendto(int descriptor, const void *bytes, size_t length, int flags, const struct sockaddr *to, socklen_t to_length) {
    REAL(ssize_t, sendto, int, const void *, size_t, int, const struct sockaddr *, socklen_t);
    int fault = fault_for("sendto", side_of(descriptor));
    if (fault > 0) { errno = fault; return -1; }
    return real(descriptor, bytes, length, flags, to, to_length);
}

static int port_of(const struct sockaddr *address) {
    if (address->sa_family == AF_INET) return ntohs(((const struct sockaddr_in *) address)->sin_port);
    if (address->sa_family == AF_INET6) return ntohs(((const struct sockaddr_in6 *) address)->sin6_port);
    return 0;
}

int socket(int domain, int type, int protocol) {
    REAL(int, socket, int, int, int);
    int internet = domain == AF_INET || domain == AF_INET6;
    int datagrams = (type & 0xf) == SOCK_DGRAM;
    int fault = internet ? fault_for("socket", datagrams ? SIDE_PEER : SIDE_OTHER) : 0;
    if (fault > 0) { errno = fault; return -1; }
    int descriptor = real(domain, type, protocol);
    if (internet) set_side(descriptor, datagrams ? SIDE_PEER : SIDE_OTHER);
    return descriptor;
}

int bind(int descriptor, const struct sockaddr *address, socklen_t length) {
    REAL(int, bind, int, const struct sockaddr *, socklen_t);
    if (side_of(descriptor) == SIDE_OTHER && client_port && port_of(address) == client_port) set_side(descriptor, SIDE_CLIENT);
    return real(descriptor, address, length);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    REAL(int, connect, int, const struct sockaddr *, socklen_t);
    if (side_of(descriptor) == SIDE_OTHER) {
        set_side(descriptor, port_of(address) == discovery_port ? SIDE_DISCOVERY : SIDE_BACKEND);
    }
    int fault = fault_for("connect", side_of(descriptor));
    if (fault == EINTR) real(descriptor, address, length); /* an interrupted connect goes on in the background */
    if (fault > 0) { errno = fault; return -1; }
    return real(descriptor, address, length);
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(int, accept4, int, struct sockaddr *, socklen_t *, int);
    int fault = fault_for("accept", side_of(descriptor));
    if (fault > 0) { errno = fault; return -1; }
    int accepted = real(descriptor, address, length, flags);
    set_side(accepted, side_of(descriptor));
    return accepted;
}

int accept(int descriptor, struct sockaddr *address, socklen_t *length) { return accept4(descriptor, address, length, 0); }

int epoll_wait(int descriptor, struct epoll_event *events, int count, int timeout) {
    REAL(int, epoll_wait, int, struct epoll_event *, int, int);
    int fault = fault_for("epoll_wait", SIDE_OTHER);
    if (fault > 0) { errno = fault; return -1; }
    return real(descriptor, events, count, timeout);
}

int epoll_ctl(int descriptor, int operation, int target, struct epoll_event *event) {
    REAL(int, epoll_ctl, int, int, int, struct epoll_event *);
    int fault = operation == EPOLL_CTL_DEL ? 0 : fault_for(operation == EPOLL_CTL_ADD ? "epoll_add" : "epoll_mod", side_of(target));
    if (fault > 0) { errno = fault; return -1; }
    return real(descriptor, operation, target, event);
}

int poll(struct pollfd *descriptors, nfds_t count, int timeout) {
    REAL(int, poll, struct pollfd *, nfds_t, int);
    int fault = count == 1 ? fault_for("poll", side_of(descriptors[0].fd)) : 0;
    if (fault > 0) { errno = fault; return -1; }
    return real(descriptors, count, timeout);
}

int setsockopt(int descriptor, int level, int name, const void *value, socklen_t length) {
    REAL(int, setsockopt, int, int, int, const void *, socklen_t);
    int fault = fault_for("setsockopt", side_of(descriptor));
    if (fault > 0) { errno = fault; return -1; }
    return real(descriptor, level, name, value, length);
}

int getsockname(int descriptor, struct sockaddr *address, socklen_t *length) {
    REAL(int, getsockname, int, struct sockaddr *, socklen_t *);
    int fault = fault_for("getsockname", side_of(descriptor));
    if (fault > 0) { errno = fault; return -1; }
    return real(descriptor, address, length);
}

int shutdown(int descriptor, int how) {
    REAL(int, shutdown, int, int);
    int fault = fault_for("shutdown", side_of(descriptor));
    if (fault > 0) { errno = fault; return -1; }
    return real(descriptor, how);
}

int close(int descriptor) {
    REAL(int, close, int);
    int side = side_of(descriptor);
    set_side(descriptor, SIDE_NONE);
    int fault = fault_for("close", side);
    int result = real(descriptor); /* Linux releases the descriptor also where close reports an error */
    if (fault > 0) { errno = fault; return -1; }
    return result;
}
