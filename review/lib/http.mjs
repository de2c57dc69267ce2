/** Small helpers for HTTP servers on the loopback interface. */
import net from "node:net";

export const LOOPBACK = "127.0.0.1";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Listens on a free port; resolves with "IP:PORT". */
export const listen = (server, port = 0) =>
  new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, LOOPBACK, () => {
      server.removeListener("error", reject);
      resolve(`${LOOPBACK}:${server.address().port}`);
    });
  });

/** Ports below those that the system gives to outgoing connections. */
const FIRST_PORT = 12_000;
const LAST_PORT = 30_000;
const givenPorts = new Set();

/** Finds a port that is free now, and gives each only once. */
export const freePort = async () => {
  for (;;) {
    const span = LAST_PORT - FIRST_PORT;
    const port = FIRST_PORT + Math.floor(Math.random() * span);
    if (givenPorts.has(port)) continue;
    const server = net.createServer();
    const isFree = await listen(server, port).then(
      () => true,
      () => false,
    );
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    givenPorts.add(port);
    return port;
  }
};

export const readBody = async (req) => {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks);
};

export const sendJson = (res, status, value, headers = {}) => {
  if (res.headersSent || res.destroyed) return;
  const body = Buffer.from(JSON.stringify(value));
  res.writeHead(status, {
    ...headers,
    "Content-Type": "application/json",
    "Content-Length": body.length,
  });
  res.end(body);
};

export const splitAddress = (address) => {
  const [host, port] = address.split(":");
  return { host, port: Number(port) };
};
