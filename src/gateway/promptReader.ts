/**
 * Has an engine read the prompt of a request for another engine, and judges
 * whether a read that takes long is still worth the wait.
 */
import { BoundedCancellation, Cancellation } from "../shared/cancellation.js";
import { errText } from "../shared/utils.js";
import type { CallerRequest } from "./callerRequest.js";
import type { EngineCalls, EngineCallsOptions } from "./engineCalls.js";
import { MAX_SHORT_ANSWER_BYTES } from "./engineCalls.js";
import type { ReadHandle } from "./types.js";
import { readWholeBody } from "./upstreamClient.js";

/** An engine is asked for its state after this many times the expected time, … */
const READ_PATIENCE = 2;
/** … and this many ms on top, for the hops and the estimate's error. */
const READ_SLACK_MS = 250;
/** An engine that does not say what it does by then counts as lost, ms. */
const REPORT_MS = 400;

export type ReadOutcome =
  | { kind: "read"; handle: ReadHandle }
  | { kind: "wrong-stage" }
  | { kind: "failed"; why: string };

/** What to read, and where. */
export interface ReadOrder {
  reader: string;
  /** Expected time until it is read, ms. */
  expectedMs: number;
  /** Address of an engine whose cached parts are taken first. */
  cacheSource: string | undefined;
}

export class PromptReader {
  constructor(
    private readonly calls: EngineCalls,
    private readonly options: EngineCallsOptions,
  ) {}

  /** Ends also when the engine is lost, or has lost the read. */
  async read(caller: CallerRequest, order: ReadOrder): Promise<ReadOutcome> {
    const stop = new BoundedCancellation(caller.cancellation, undefined);
    const watch = this.watch(caller, order, stop);
    try {
      return await this.exchange(caller, order, stop);
    } finally {
      watch.cancel();
      stop.dispose();
    }
  }

  private async exchange(
    caller: CallerRequest,
    { reader, cacheSource }: ReadOrder,
    stop: Cancellation,
  ): Promise<ReadOutcome> {
    const { form } = this.options;
    const sent = await this.calls.send(caller, reader, stop, {
      replicaId: reader,
      deadlineMs: Math.round(caller.leftMs()),
      phase: "read",
      cacheSource,
    });
    if (sent.kind === "failed") return { kind: "failed", why: sent.why };
    const { res, address } = sent;
    const reply = form.readReply(res.statusCode ?? 0, res.headers);
    const whole = await readWholeBody(sent, MAX_SHORT_ANSWER_BYTES);
    if (reply.isMisdirected) return { kind: "wrong-stage" };
    if (reply.isNotRun || reply.status !== 200) {
      return { kind: "failed", why: `read refused with ${reply.status}` };
    }
    if (reply.requestId !== undefined && reply.requestId !== caller.head.id) {
      return { kind: "failed", why: "the answer belongs to another request" };
    }
    if (whole.kind === "cut") return { kind: "failed", why: whole.why };
    const handle = form.readHandle(address, whole.body.toString("utf8"));
    if (handle !== undefined) return { kind: "read", handle };
    return { kind: "failed", why: "the answer names no handle" };
  }

  /**
   * Looks at the engine when the read is overdue. A read is cut only where
   * the engine says nothing, or has nothing to do: cutting those that are
   * merely slow throws away what was read.
   */
  private watch(
    caller: CallerRequest,
    { reader, expectedMs }: ReadOrder,
    stop: Cancellation,
  ): Cancellation {
    const over = new Cancellation();
    const pauseMs = expectedMs * READ_PATIENCE + READ_SLACK_MS;
    const look = async (): Promise<void> => {
      const isAtWork = await this.isAtWork(caller.service, reader);
      if (over.isCancelled) return;
      if (!isAtWork) return stop.cancel();
      timer = setTimeout(onTime, pauseMs);
    };
    const onTime = (): void => {
      look().catch((err) => {
        this.options.log.warn("engine not looked at", { why: errText(err) });
      });
    };
    let timer = setTimeout(onTime, pauseMs);
    over.onCancel(() => clearTimeout(timer));
    return over;
  }

  private async isAtWork(service: string, id: string): Promise<boolean> {
    const { replicas, client, form } = this.options;
    const replica = replicas.get(id);
    if (replica === undefined) return false;
    const { address } = replica;
    const cancellation = new BoundedCancellation(undefined, REPORT_MS);
    try {
      const call = form.reportCall(replica);
      const sent = await client.send({
        ...call,
        service,
        address,
        cancellation,
      });
      if (sent.kind === "failed") return false;
      const whole = await readWholeBody(sent, MAX_SHORT_ANSWER_BYTES);
      if (whole.kind === "cut") return false;
      const { running, waiting } = form.readReport(whole.body.toString("utf8"));
      return running + waiting > 0;
    } finally {
      cancellation.dispose();
    }
  }
}
