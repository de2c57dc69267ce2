/**
 * Stand-in for the weight store: each download takes `downloadMs`, and at most
 * `atOnce` run concurrently.
 */
import { readOptions, reply, serve } from "./support.js";

const options = readOptions({ downloadMs: 200, atOnce: 2 });
let running = 0;
const waiting: (() => void)[] = [];

const startNext = (): void => {
  if (running >= options.atOnce) return;
  const start = waiting.shift();
  if (start === undefined) return;
  running += 1;
  start();
};

await serve(({ res, url }) => {
  waiting.push(() => {
    setTimeout(() => {
      running -= 1;
      reply(res, 200, { weights: url.pathname });
      startNext();
    }, options.downloadMs);
  });
  startNext();
});
