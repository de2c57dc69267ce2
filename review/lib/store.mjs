/** Stand-in for the platform's store: objects by kind, conditional writes, watches. */
import http from "node:http";

import { listen, readBody, sendJson } from "./http.mjs";

const PREFIX = "/snowgate/objects/";

export class Store {
  #objects = new Map();
  #changes = [];
  #revision = 1;
  #waiting = new Set();
  #server = http.createServer((req, res) => void this.#serve(req, res));
  address = "";

  async start() {
    this.address = await listen(this.#server);
    return this;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes an object as the operator or a replica does. */
  put(kind, name, spec) {
    const known = this.#kind(kind).get(name);
    return this.#keep(kind, name, spec, known?.status ?? null, known);
  }

  get(kind, name) {
    return this.#kind(kind).get(name);
  }

  list(kind) {
    return [...this.#kind(kind).values()];
  }

  remove(kind, name) {
    const object = this.#kind(kind).get(name);
    if (object === undefined) return;
    this.#revision += 1;
    this.#kind(kind).delete(name);
    this.#publish({ kind, revision: this.#revision, object, removed: true });
  }

  #kind(kind) {
    const known = this.#objects.get(kind) ?? new Map();
    this.#objects.set(kind, known);
    return known;
  }

  #keep(kind, name, spec, status, known) {
    this.#revision += 1;
    const revision = this.#revision;
    const created = known?.metadata.created ?? revision;
    const metadata = { name, revision, created };
    const object = {
      metadata: { ...metadata, finalizers: [], deleting: false },
      spec,
      status,
    };
    this.#kind(kind).set(name, object);
    this.#publish({ kind, revision, object, removed: false });
    return object;
  }

  #publish(change) {
    this.#changes.push(change);
    for (const wake of [...this.#waiting]) wake();
  }

  async #serve(req, res) {
    const url = new URL(req.url ?? "/", "http://store");
    const path = url.pathname.slice(PREFIX.length).split("/");
    const [kind = "", name, part] = path.map(decodeURIComponent);
    if (req.method === "GET") return this.#read(kind, name, url, res);
    const body = await readBody(req);
    const given = body.length > 0 ? JSON.parse(body.toString()) : {};
    const key = name ?? given.metadata?.name;
    const known = this.#kind(kind).get(key);
    if (req.method === "POST") {
      if (known !== undefined) return sendJson(res, 409, known);
      return sendJson(res, 201, this.#keep(kind, key, given.spec, null));
    }
    if (known === undefined) return sendJson(res, 404, {});
    const query = url.searchParams.get("revision") ?? undefined;
    const expected = given.metadata?.revision ?? query;
    const isStale =
      expected !== undefined && Number(expected) !== known.metadata.revision;
    if (isStale) return sendJson(res, 409, known);
    if (req.method === "DELETE") {
      this.remove(kind, key);
      return sendJson(res, 200, known);
    }
    const spec = part === "status" ? known.spec : given.spec;
    const status = part === "status" ? given.status : known.status;
    const before = JSON.stringify([known.spec, known.status]);
    const isSame = JSON.stringify([spec, status]) === before;
    if (isSame) return sendJson(res, 200, known);
    sendJson(res, 200, this.#keep(kind, key, spec, status, known));
  }

  #read(kind, name, url, res) {
    if (name !== undefined) {
      const object = this.#kind(kind).get(name);
      return sendJson(res, object === undefined ? 404 : 200, object ?? {});
    }
    const watch = url.searchParams.get("watch");
    if (watch === null) {
      const after = url.searchParams.get("after") ?? "";
      const items = this.list(kind)
        .filter((object) => object.metadata.name > after)
        .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
      return sendJson(res, 200, {
        items,
        truncated: false,
        asOf: this.#revision,
      });
    }
    this.#watch(kind, Number(watch), url, res);
  }

  #watch(kind, since, url, res) {
    const answer = (isOver) => {
      const events = this.#changes
        .filter((item) => item.kind === kind && item.revision > since)
        .map(({ object, removed }) => ({ removed, object }));
      if (events.length === 0 && !isOver) return;
      this.#waiting.delete(wake);
      clearTimeout(timer);
      sendJson(res, 200, { events, asOf: this.#revision });
    };
    const wake = () => answer(false);
    const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
    const timer = setTimeout(() => answer(true), waitMs);
    this.#waiting.add(wake);
    res.once("close", () => {
      this.#waiting.delete(wake);
      clearTimeout(timer);
    });
    wake();
  }
}
