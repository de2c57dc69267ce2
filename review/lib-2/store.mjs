/**
 * Stand-in for the platform's metadata store. Keeps objects by kind and name,
 * answers lists and watches, and lets entries of replicas lapse after three
 * heartbeats without a write.
 */
import http from "node:http";

const PREFIX = "/snowgate/objects/";
const HEARTBEATS_TO_LAPSE = 3;
const LAPSE_CHECK_MS = 50;
const OK = 200;
const CREATED = 201;
const NOT_FOUND = 404;
const CONFLICT = 409;

const same = (left, right) => JSON.stringify(left) === JSON.stringify(right);

/** The entry of a replica without the field that each heartbeat changes. */
const withoutSeq = (spec) => ({ ...spec, seq: 0 });

export class Store {
  /** Decides what happens to a call: "serve", "lose" (done, not answered). */
  onCall = () => "serve";
  address = "";
  #revision = 1;
  #kinds = new Map();
  #changes = [];
  #waiting = new Set();
  /** Answers of watches that wait. */
  #watches = new Set();
  #beats = new Map();
  #server = this.#newServer();
  #former;

  constructor(heartbeatMs) {
    const lapseMs = heartbeatMs * HEARTBEATS_TO_LAPSE;
    setInterval(() => this.#lapse(lapseMs), LAPSE_CHECK_MS).unref();
  }

  #newServer() {
    return http.createServer((req, res) => this.#receive(req, res));
  }

  async listen(host, port = 0) {
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    this.address = `${host}:${this.#server.address().port}`;
    return this;
  }

  /** Serves at a new address too, until `closeFormer` is called. */
  async move(address) {
    const [host, port] = address.split(":");
    this.#former = this.#server;
    this.#server = this.#newServer();
    await this.listen(host, Number(port));
  }

  closeFormer() {
    this.#former.close();
    this.#former.closeAllConnections();
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  get(kind, name) {
    return this.#kind(kind).get(name);
  }

  /** What the operator writes. */
  put(kind, name, spec) {
    return this.#write(kind, name, { spec });
  }

  /** The entry of a replica disappears. */
  remove(kind, name) {
    this.#beats.delete(name);
    this.#remove(kind, name);
  }

  /** Closes the connections of all watches that wait; returns how many. */
  cutWatches() {
    const count = this.#watches.size;
    for (const res of [...this.#watches]) res.destroy();
    return count;
  }

  #kind(kind) {
    const known = this.#kinds.get(kind) ?? new Map();
    this.#kinds.set(kind, known);
    return known;
  }

  #write(kind, name, change) {
    const objects = this.#kind(kind);
    const before = objects.get(name);
    const { spec = before?.spec, status = before?.status ?? {} } = change;
    if (kind === "servers") this.#beats.set(name, performance.now());
    const isSame =
      before !== undefined &&
      same(withoutSeq(before.spec), withoutSeq(spec)) &&
      same(before.status, status);
    if (isSame && (kind === "servers" || same(before.spec, spec)))
      return before;
    this.#revision += 1;
    const metadata = {
      name,
      revision: this.#revision,
      created: before?.metadata.created ?? this.#revision,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, spec, status };
    objects.set(name, object);
    this.#record(kind, object, false);
    return object;
  }

  #remove(kind, name) {
    const object = this.#kind(kind).get(name);
    if (object === undefined) return;
    this.#kind(kind).delete(name);
    this.#revision += 1;
    this.#record(kind, object, true);
  }

  #record(kind, object, removed) {
    const change = { kind, revision: this.#revision, object, removed };
    this.#changes.push(change);
    for (const wake of [...this.#waiting]) wake();
  }

  #lapse(lapseMs) {
    const now = performance.now();
    for (const [name, at] of this.#beats) {
      if (now - at < lapseMs) continue;
      this.#beats.delete(name);
      this.#remove("servers", name);
    }
  }

  #receive(req, res) {
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("end", () => this.#serve(req, res, Buffer.concat(chunks)));
  }

  #serve(req, res, body) {
    const url = new URL(req.url, "http://store");
    const path = url.pathname.slice(PREFIX.length).split("/");
    const [kind, name, part] = path.map(decodeURIComponent);
    const call = { method: req.method, kind, name, part };
    const given = body.length > 0 ? JSON.parse(body) : undefined;
    const isLost = this.onCall({ ...call, given }) === "lose";
    const answer = (status, value) => {
      if (isLost) return;
      const text = JSON.stringify(value);
      res.writeHead(status, {
        "Content-Type": "application/json",
        "Content-Length": Buffer.byteLength(text),
      });
      res.end(text);
    };
    if (req.method === "GET") return this.#read(call, url, res, answer);
    return this.#change(call, given, answer);
  }

  #read({ kind, name }, { searchParams }, res, answer) {
    if (name !== undefined) {
      const object = this.get(kind, name);
      return object === undefined ? answer(NOT_FOUND, {}) : answer(OK, object);
    }
    if (!searchParams.has("watch")) {
      const items = [...this.#kind(kind).values()].sort((left, right) =>
        left.metadata.name < right.metadata.name ? -1 : 1,
      );
      return answer(OK, { items, truncated: false, asOf: this.#revision });
    }
    const since = Number(searchParams.get("watch"));
    const send = () => {
      const events = this.#changes
        .filter((item) => item.kind === kind && item.revision > since)
        .map(({ object, removed }) => ({ object, removed }));
      if (events.length > 0) finish(events);
    };
    const finish = (events) => {
      clearTimeout(timer);
      this.#waiting.delete(send);
      answer(OK, { events, asOf: this.#revision });
    };
    const timer = setTimeout(
      () => finish([]),
      Number(searchParams.get("waitMs")),
    );
    this.#waiting.add(send);
    this.#watches.add(res);
    res.on("close", () => {
      this.#watches.delete(res);
      clearTimeout(timer);
      this.#waiting.delete(send);
    });
    return send();
  }

  #change({ method, kind, name, part }, given, answer) {
    const key = name ?? given.metadata.name;
    const before = this.get(kind, key);
    if (method === "POST") {
      if (before !== undefined) return answer(CONFLICT, before);
      return answer(CREATED, this.#write(kind, key, { spec: given.spec }));
    }
    const expected = given?.metadata?.revision;
    const isOther =
      expected !== undefined && expected !== before?.metadata.revision;
    if (before === undefined && method !== "PUT") return answer(NOT_FOUND, {});
    if (isOther) return answer(CONFLICT, before ?? {});
    if (method === "DELETE") {
      this.#remove(kind, key);
      return answer(OK, before);
    }
    const change =
      part === "status" ? { status: given.status } : { spec: given.spec };
    return answer(OK, this.#write(kind, key, change));
  }
}
