/** Program: answers each request with the size of its body, in bytes. */
import http from "node:http";

import { listen, readBody } from "../../src/http/index.js";

const MAX_BODY_BYTES = 4 * 1024 * 1024;

const server = http.createServer((req, res) => {
  void readBody(req, MAX_BODY_BYTES).then(({ length }) =>
    res.end(String(length)),
  );
});
const callers = await listen(server, "127.0.0.1:0");
process.stdout.write(`${JSON.stringify({ callers })}\n`);
