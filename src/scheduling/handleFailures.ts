/**
 * Decides which engine is at fault when a run with a prefill handle is refused
 * as not run: the one that prefilled, because its handle is gone, or the runner,
 * because it is full. Pure; times are ms.
 *
 * It is the engine that the recent refusals have in common: the one that was
 * refused with more different partners. A first refusal counts against the
 * engine that prefilled.
 */
import { LRUCache } from "lru-cache";

/** Refusals older than this say nothing of the present, ms. */
const MEMORY_MS = 2000;
/** Partner of a runner that refused a run without a handle. */
const NO_READER = "";

/** More engines than a service has; those that are gone are evicted. */
const MAX_ENGINES = 4096;

type Partners = Map<string, number>;
type PartnersByEngine = LRUCache<string, Partners>;

const newPartners = (): PartnersByEngine => new LRUCache({ max: MAX_ENGINES });

export class HandleFailures {
  /** Partners with which each engine's runs were refused, and when. */
  private readonly byReader = newPartners();
  private readonly byRunner = newPartners();

  /** Returns the engine at fault. */
  recordRefusal(
    reader: string,
    runner: string,
    now: number,
  ): "reader" | "runner" {
    const runners = recordPartner(this.byReader, reader, runner, now);
    const readers = recordPartner(this.byRunner, runner, reader, now);
    return readers > runners ? "runner" : "reader";
  }

  /** The runner failed a run that it prefills itself. */
  recordOwnFailure(runner: string, now: number): void {
    recordPartner(this.byRunner, runner, NO_READER, now);
  }

  recordSuccess(reader: string | undefined, runner: string): void {
    if (reader !== undefined) this.byReader.delete(reader);
    this.byRunner.delete(runner);
  }
}

/** Returns the number of recent partners, the new one included. */
const recordPartner = (
  all: PartnersByEngine,
  engine: string,
  partner: string,
  now: number,
): number => {
  const partners: Partners = all.get(engine) ?? new Map<string, number>();
  all.set(engine, partners);
  for (const [id, at] of partners) {
    if (now - at > MEMORY_MS) partners.delete(id);
  }
  partners.set(partner, now);
  return partners.size;
};
