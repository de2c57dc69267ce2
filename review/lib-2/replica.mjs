/**
 * Stand-in for a replica of a plain service or of a model engine, as a process
 * of its own: `node replica.mjs '{"address":..}'`. Writes a JSON line to standard
 * output for each request that arrives, and for each that it begins to run.
 */
import http from "node:http";

const OK = 200;
const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const TIMED_OUT = 504;
const BODY = "x".repeat(800);

const settings = JSON.parse(process.argv[2]);
const { id, service, address, heartbeatMs, slots, workMs } = settings;
const {
  readMs = 0,
  events = 0,
  eventMs = 0,
  switchMs = 3000,
  queue = 4 * slots,
} = settings;
const [host, port] = address.split(":");
const bornAt = Date.now();

let { stage, store } = settings;
/** Whether an order is being carried out. */
let isBusy = false;
let seq = 0;
let running = 0;
let orders = 0;
/** Its entry goes, and it serves on. */
let isLeaving = false;
const waiting = [];
const handles = new Map();

const tell = (line) => process.stdout.write(`${JSON.stringify(line)}\n`);

const register = () => {
  if (isLeaving) return;
  seq += 1;
  const spec = {
    service,
    address,
    zone: settings.zone,
    version: "1.0",
    slots,
    state: "ready",
    coldRemainingMs: 0,
    seq,
    ...(stage === undefined ? {} : { stage, models: [] }),
  };
  const body = JSON.stringify({ metadata: { name: id }, spec });
  const req = http.request(`http://${store}/snowgate/objects/servers/${id}`, {
    method: "PUT",
    headers: {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(body),
    },
    timeout: heartbeatMs,
  });
  req.on("response", (res) => res.resume());
  req.on("timeout", () => req.destroy());
  req.on("error", () => undefined);
  req.end(body);
};

/** Begins the next request that waits, if a slot is free. */
const next = () => {
  while (running < slots && waiting.length > 0) {
    const work = waiting.shift();
    running += 1;
    work();
  }
};

const release = () => {
  running -= 1;
  next();
};

const sendJson = (res, status, value, headers = {}) => {
  const text = JSON.stringify(value);
  res.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(text),
    ...headers,
  });
  res.end(text);
};

const refuse = (res, requestId, status) =>
  sendJson(res, status, {}, { "Request-Id": requestId, "Not-Executed": "1" });

const report = () => ({
  stage,
  models: [],
  busy: isBusy,
  seq: orders,
  waiting: waiting.length,
  running,
  kvUsed: 0,
  kvTotal: 400_000,
  handles: handles.size,
});

const runPlain = (req, res, requestId, deadlineAt) => {
  const isLate = Date.now() + workMs > deadlineAt;
  const takesMs = isLate ? Math.max(0, deadlineAt - Date.now()) : workMs;
  const timer = setTimeout(() => {
    const status = isLate ? TIMED_OUT : OK;
    res.writeHead(status, {
      "Request-Id": requestId,
      "Server-Signature": `${id}.${requestId}`,
      "Content-Type": "text/plain",
      "Content-Length": BODY.length,
    });
    res.end(BODY);
  }, takesMs);
  res.on("close", () => {
    clearTimeout(timer);
    release();
  });
};

const runStream = (req, res, requestId) => {
  const after = Number(req.headers["last-event-id"] ?? 0);
  let event = after;
  res.writeHead(OK, {
    "Request-Id": requestId,
    "Server-Signature": `${id}.${requestId}`,
    "Weight-Versions": "1",
    "Content-Type": "text/event-stream",
  });
  res.flushHeaders();
  let timer;
  const sendEvents = () => {
    timer = setInterval(() => {
      event += 1;
      res.write(`id: ${event}\ndata: piece ${event}\n\n`);
      if (event >= events) res.end();
    }, eventMs);
  };
  // Without the memory of a prefill it reads the prompt at half the pace.
  const hasMemory = req.headers["kv-source"] !== undefined;
  const reading = setTimeout(sendEvents, hasMemory ? 0 : 2 * readMs);
  res.on("close", () => {
    clearTimeout(reading);
    clearInterval(timer);
    release();
  });
};

const prefill = (res, requestId) => {
  const handle = `${id}-${handles.size + 1}`;
  handles.set(handle, requestId);
  const timer = setTimeout(
    () =>
      sendJson(
        res,
        OK,
        { kvHandle: handle, tokens: 100, version: 1 },
        { "Request-Id": requestId },
      ),
    workMs,
  );
  res.on("close", () => {
    clearTimeout(timer);
    release();
  });
};

/** `gotAt`: when its head arrived, ms since 1970. */
const serveRequest = (req, res, gotAt) => {
  const requestId = req.headers["request-id"];
  const target = req.headers["target-instance"];
  if (target !== undefined && target !== id)
    return refuse(res, requestId ?? "", MISDIRECTED);
  if (requestId === undefined) return refuse(res, "", 400);
  const isPrefill = req.headers.stage === "prefill";
  if (stage !== undefined && isPrefill !== (stage === "prefill"))
    return refuse(res, requestId, MISDIRECTED);
  tell({ got: requestId, replica: id, isPrefill, gotAt });
  if (isBusy || (running >= slots && waiting.length >= queue))
    return refuse(res, requestId, UNAVAILABLE);
  const deadlineAt = Date.now() + Number(req.headers["deadline-ms"] ?? 60_000);
  const work = () => {
    if (res.destroyed) return release();
    if (Date.now() > deadlineAt) {
      release();
      return refuse(res, requestId, UNAVAILABLE);
    }
    if (isPrefill) return prefill(res, requestId);
    tell({ ran: requestId, replica: id, service, path: req.url });
    if (stage === undefined) return runPlain(req, res, requestId, deadlineAt);
    return runStream(req, res, requestId);
  };
  waiting.push(work);
  return next();
};

/** Changes the stage, once what runs has ended and some time has passed. */
const carryOut = (order) => {
  isBusy = true;
  const timer = setInterval(() => {
    if (running > 0) return;
    clearInterval(timer);
    setTimeout(() => {
      isBusy = false;
      stage = order.stage;
      register();
    }, switchMs);
  }, 10);
};

const takeOrder = (req, res, order) => {
  const target = req.headers["target-instance"];
  if (target !== undefined && target !== id)
    return refuse(res, "", MISDIRECTED);
  if (isBusy || (order.expectedRev ?? orders) !== orders)
    return sendJson(res, 409, {});
  orders += 1;
  tell({ ordered: order, replica: id });
  if (order.stage === stage) return sendJson(res, OK, {});
  carryOut(order);
  return sendJson(res, 202, {});
};

const server = http.createServer((req, res) => {
  const gotAt = Date.now();
  const chunks = [];
  req.on("data", (chunk) => chunks.push(chunk));
  req.on("end", () => {
    const { pathname } = new URL(req.url, "http://replica");
    if (pathname === "/snowgate/report") return sendJson(res, OK, report());
    if (pathname === "/snowgate/kv-list")
      return sendJson(res, OK, { epoch: 1, nextToken: 0, held: [] });
    if (pathname.startsWith("/snowgate/kv-handle/")) {
      handles.delete(pathname.split("/").pop());
      return sendJson(res, OK, {});
    }
    if (pathname === "/snowgate/order")
      return takeOrder(req, res, JSON.parse(Buffer.concat(chunks)));
    return serveRequest(req, res, gotAt);
  });
});
/** The platform tells its replicas where the store is. */
process.on("message", (news) => {
  if (news.store !== undefined) store = news.store;
  if (news.leave === true) isLeaving = true;
});
server.keepAliveTimeout = 20_000;
server.listen(Number(port), host, () => {
  tell({ started: id, address, bornAt });
  register();
  setInterval(register, heartbeatMs);
});
