/**
 * Sends a slow safe request a second time, to another replica. The first good
 * answer is taken and the other send is cancelled.
 */
import { BoundedCancellation } from "../shared/cancellation.js";
import type { Cancellation } from "../shared/cancellation.js";
import type { Log, Metrics } from "../telemetry/index.js";
import { AnswerTimes } from "./answerTimes.js";
import type { CallerRequest } from "./callerRequest.js";
import { isServerError } from "./plainSender.js";
import type { Attempt } from "./plainSender.js";

/** Starts one send; it gets the cancellation that ends it alone. */
export type PlainSend = (cancellation: Cancellation) => Promise<Attempt>;

export interface SecondSendsOptions {
  log: Log;
  metrics: Metrics;
  now: () => number;
}

interface StartedSend {
  end: Promise<Attempt>;
  isEnded: boolean;
  cancellation: BoundedCancellation;
}

/**
 * Finds a replica for the second send that answers within `slowMs`, and takes
 * what the send costs only if `isNeeded` still holds then.
 */
export type NextSend = (
  slowMs: number,
  isNeeded: () => boolean,
) => Promise<PlainSend | undefined>;

const isGood = (attempt: Attempt): boolean =>
  attempt.kind === "answer" && !isServerError(attempt);

const startSend = (caller: CallerRequest, send: PlainSend): StartedSend => {
  const parent = caller.cancellation;
  const cancellation = new BoundedCancellation(parent, undefined);
  const end = send(cancellation).finally(() => {
    started.isEnded = true;
    cancellation.dispose();
  });
  const started: StartedSend = { end, isEnded: false, cancellation };
  return started;
};

/** Whether the send has not ended after a time, ms. */
const isOpenAfter = (
  { end }: StartedSend,
  waitMs: number,
): Promise<boolean> => {
  let timer: NodeJS.Timeout | undefined;
  const elapsed = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => resolve(true), waitMs);
  });
  const ended = end.then(() => false).finally(() => clearTimeout(timer));
  return Promise.race([elapsed, ended]);
};

export class SecondSends {
  private readonly times = new AnswerTimes();

  constructor(private readonly options: SecondSendsOptions) {}

  /**
   * Sends, and once more if the answer is slow and `next` finds a replica for
   * it. Returns how the sends ended, without the one that was cancelled.
   */
  async run(
    caller: CallerRequest,
    send: PlainSend,
    next: NextSend,
  ): Promise<Attempt[]> {
    const sentAt = this.options.now();
    const first = startSend(caller, send);
    const second = await this.startSecond(caller, first, next);
    const attempts =
      second === undefined
        ? [await first.end]
        : await this.firstGood(caller, first, second);
    if (attempts.some(isGood)) {
      this.times.record(caller.route.name, this.options.now() - sentAt);
    }
    return attempts;
  }

  private async startSecond(
    caller: CallerRequest,
    first: StartedSend,
    next: NextSend,
  ): Promise<StartedSend | undefined> {
    const { route } = caller;
    const slowMs = this.times.slowAfterMs(route.name);
    if (slowMs === undefined) return undefined;
    if (caller.elapsedMs() + slowMs >= route.objectiveMs) return undefined;
    if (!(await isOpenAfter(first, slowMs))) return undefined;
    const isNeeded = () =>
      !first.isEnded &&
      !caller.cancellation.isCancelled &&
      // The caller is kept open for a moment after its deadline.
      caller.leftMs() > 0 &&
      caller.elapsedMs() < route.objectiveMs;
    if (!isNeeded()) return undefined;
    // The choice may wait for a permit; the first answer must not wait for it.
    const firstEnd = first.end.then(() => undefined);
    const send = await Promise.race([next(slowMs, isNeeded), firstEnd]);
    if (send === undefined) return undefined;
    this.options.metrics.count("second_send", { event: "started" });
    return startSend(caller, send);
  }

  private async firstGood(
    caller: CallerRequest,
    first: StartedSend,
    second: StartedSend,
  ): Promise<Attempt[]> {
    const early = await Promise.race(
      [first, second].map(async (send) => ({ send, attempt: await send.end })),
    );
    const other = early.send === first ? second : first;
    const attempts = [early.attempt];
    if (isGood(early.attempt)) other.cancellation.cancel();
    else attempts.push(await other.end);
    const last = attempts.length === 1 ? early.send : other;
    const isWon = last === second && isGood(attempts[attempts.length - 1]!);
    const event = isWon ? "won" : "lost";
    this.options.metrics.count("second_send", { event });
    const { head, route, sentTo } = caller;
    this.options.log.info("second send ended", {
      requestId: head.id,
      route: route.name,
      sentTo: sentTo.join(","),
      event,
      elapsedMs: Math.round(caller.elapsedMs()),
    });
    return attempts;
  }
}
