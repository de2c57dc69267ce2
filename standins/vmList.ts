/** Stand-in for the platform's VM list. `PUT /vms` replaces the list. */
import { readOptions, reply, serve } from "./support.js";

const options = readOptions({ vms: [] as unknown[] });
let vms = options.vms;
let isDown = false;

await serve(({ res, method, url, body }) => {
  if (url.pathname === "/faults") {
    isDown = (JSON.parse(body.toString("utf8")) as { down: boolean }).down;
    return reply(res, 200, {});
  }
  if (isDown) return reply(res, 503, {});
  if (method === "PUT") vms = JSON.parse(body.toString("utf8")) as unknown[];
  reply(res, 200, { vms });
});
