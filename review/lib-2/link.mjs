/**
 * The link of one machine to one server: a proxy that can be cut. What is sent
 * into the cut is held and delivered afterwards, when its sender's TCP sends it
 * again, unless the sender has reset the connection.
 */
import net from "node:net";

const FIRST_RETRANSMISSION_MS = 200;

/** When bytes first sent at `sentAt` are sent again for the first time after `at`. */
const retransmittedAt = (sentAt, at) => {
  let waitMs = FIRST_RETRANSMISSION_MS;
  let next = sentAt;
  while (next <= at) {
    next += waitMs;
    waitMs *= 2;
  }
  return next;
};

export class Link {
  address = "";
  isCut = false;
  /** Called with each chunk of the server once it has been passed on. */
  onAnswer = () => undefined;
  #healed = [];
  #server = net.createServer({ allowHalfOpen: true }, (socket) =>
    this.#connect(socket),
  );

  constructor(target) {
    this.target = target;
  }

  async listen(host) {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
    return this;
  }

  cut() {
    this.isCut = true;
  }

  heal() {
    this.isCut = false;
    const healed = this.#healed;
    this.#healed = [];
    for (const resume of healed) resume();
  }

  #connect(near) {
    near.setNoDelay(true);
    near.on("error", () => undefined);
    // Its first packet is lost: it never comes up.
    if (this.isCut) return void this.#healed.push(() => near.destroy());
    const [host, port] = this.target.split(":");
    const far = net.connect({ host, port: Number(port), allowHalfOpen: true });
    far.setNoDelay(true);
    let isReset = false;
    near.on("error", () => {
      isReset = true;
      far.resetAndDestroy();
    });
    far.on("error", () => near.destroy());
    this.#pass(near, far, () => isReset);
    this.#pass(far, near, () => near.destroyed, this.onAnswer);
    return undefined;
  }

  /** Passes on bytes and the end; held ones in order, once they are sent again. */
  #pass(from, to, isLost, onPassed) {
    let held = [];
    const send = (item) => {
      if (isLost() || to.destroyed) return;
      if (item === undefined) return void to.end();
      to.write(item);
      if (onPassed !== undefined) this.onAnswer(item);
    };
    const take = (item) => {
      if (!this.isCut && held.length === 0) return send(item);
      held.push({ item, sentAt: performance.now() });
      if (held.length > 1) return undefined;
      this.#healed.push(() => {
        const now = performance.now();
        const dueAt = retransmittedAt(held[0].sentAt, now);
        setTimeout(() => {
          const all = held;
          held = [];
          for (const each of all) send(each.item);
        }, dueAt - now);
      });
      return undefined;
    };
    from.on("data", take);
    from.on("end", () => take(undefined));
  }
}
