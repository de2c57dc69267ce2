/**
 * Clients that keep to no limit, as crowds at each server of the project's own
 * deployment: its processes live within their memory, and others are served.
 */
import { expect } from "chai";

import type { ClientKind } from "../standins/hostileClients.js";
import {
  CLIENT_KINDS,
  MAX_BODY_BYTES,
  playCrowd,
  targetOf,
} from "./support/crowds.js";
import type { CrowdPlace, Door } from "./support/crowds.js";
import { Fleet } from "./support/fleet.js";
import { call } from "./support/ordinaryCallers.js";
import type { OrdinaryRequest } from "./support/ordinaryCallers.js";
import { stopAll } from "./support/processes.js";
import type { Program } from "./support/processes.js";
import { ProcessWatch } from "./support/processWatch.js";
import {
  engineSpec,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  plainSpec,
} from "./support/specs.js";
import { until } from "./support/until.js";

const TIMEOUT_MS = 5 * 60_000;
const MEMORY_MB = 350;
const LIMITS = { memoryMb: MEMORY_MB, maxFds: 4100 };
const NODE_ARGS = ["--max-old-space-size=160"];
/** Path of requests that the plain service answers with a large body. */
const LARGE_ANSWER_PATH = `/stock/large?bytes=${MAX_BODY_BYTES}`;

const PLACES = [
  "a plain route",
  "no route",
  "ready",
  "the operators' server",
  "a side",
] as const;
type PlaceName = (typeof PLACES)[number];

/** A fleet of one entry, one engine and one plain service. */
class FleetDoor implements Door {
  watch!: ProcessWatch;
  private fleet!: Fleet;
  private watched!: Program;
  private hasEnded = false;

  async start(place: PlaceName): Promise<this> {
    this.fleet = await Fleet.start({
      entries: 1,
      services: [MODEL_SERVICE, PLAIN_SERVICE],
      upstreams: [
        engineSpec("parts-1"),
        plainSpec("stock-1", {
          side: { limits: LIMITS },
          options: { isRecording: false },
        }),
      ],
      entry: { limits: LIMITS },
      nodeArgs: NODE_ARGS,
    });
    const { side } = this.fleet.part("stock-1");
    this.watched = place === "a side" ? side : this.fleet.entries[0]!;
    this.watch = new ProcessWatch(this.watched.child, MEMORY_MB);
    void this.watched.ended.then(() => (this.hasEnded = true));
    await until(async () => (await this.ask()) === 200, "an answer");
    return this;
  }

  async stop(): Promise<void> {
    this.watch.stop();
    await stopAll();
  }

  isAlive(): boolean {
    return !this.hasEnded;
  }

  ordinaryRequest(): OrdinaryRequest {
    return {
      url: `${this.fleet.entryUrl()}/stock/4711`,
      method: "POST",
      headers: {},
    };
  }

  /** Sends one request that keeps to the limits; its status. */
  ask(body = ""): Promise<number> {
    return call(() => ({ ...this.ordinaryRequest(), body }));
  }

  place(name: PlaceName, kind: ClientKind): CrowdPlace {
    const { callers = "", operators = "" } = this.fleet.entries[0]!.at;
    const { data = "" } = this.fleet.part("stock-1").side.at;
    const headers = { Host: "fleet.example" };
    const at = (address: string, path: string) => ({
      address,
      target: { method: "POST", path, headers },
    });
    switch (name) {
      case "a plain route":
        return at(callers, targetOf(kind, "/stock/1", LARGE_ANSWER_PATH));
      case "no route":
        return at(callers, "/nowhere");
      case "ready":
        return at(callers, "/readyz");
      case "the operators' server":
        return at(operators, "/command");
      case "a side":
        return at(data, "/stock/1");
    }
  }
}

describe("the own deployment's clients that keep to no limit", function () {
  this.timeout(TIMEOUT_MS);

  for (const place of PLACES) {
    describe(`at ${place}`, () => {
      let door: FleetDoor | undefined;

      /** Cases share a fleet as long as the process lives. */
      const fleetDoor = async (): Promise<FleetDoor> => {
        if (door?.isAlive() === true) return door;
        await door?.stop();
        door = await new FleetDoor().start(place);
        return door;
      };

      after(() => door?.stop());

      for (const kind of CLIENT_KINDS) {
        it(`${kind}: lives, and serves others`, async () => {
          const current = await fleetDoor();
          await playCrowd(current, kind, current.place(place, kind));
        });
      }

      it("then serves a body of the largest size", async () => {
        const body = "x".repeat(MAX_BODY_BYTES);
        expect(await (await fleetDoor()).ask(body)).to.equal(200);
      });
    });
  }
});
