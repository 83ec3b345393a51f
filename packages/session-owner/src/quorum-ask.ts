/** Asking as few replicas as a quorum needs, and further ones only where an answer fails or is late. */
import { delay, type Clock } from '@tillerstair/wire';

/** A question to replicas that is answered once a quorum of them has replied. */
export interface QuorumQuestion<T> {
  readonly clock: Clock;
  /** Whom to ask, the preferred ones first. */
  readonly ids: readonly string[];
  readonly quorum: number;
  /** After this many ms without a quorum one more replica is asked, and so on. */
  readonly hedgeAfterMs: number;
  readonly ask: (id: string) => Promise<T>;
}

/** Resolves with the answers so far once a quorum has replied or nobody is left to ask; may hold fewer than a quorum. */
export const askQuorum = <T>(question: QuorumQuestion<T>): Promise<ReadonlyMap<string, T>> => {
  const { clock, ids, quorum, hedgeAfterMs, ask } = question;
  const answers = new Map<string, T>();
  const over = new AbortController();
  let next = 0;
  let underWay = 0;
  return new Promise((done) => {
    const settle = (): void => {
      if (answers.size < quorum && underWay > 0) return;
      over.abort();
      done(answers);
    };
    const askNext = (): void => {
      const id = ids[next++];
      if (id === undefined) return;
      underWay++;
      void ask(id)
        .then(
          (answer) => {
            if (!over.signal.aborted) answers.set(id, answer);
          },
          () => {
            if (!over.signal.aborted) askNext();
          },
        )
        .finally(() => {
          underWay--;
          settle();
        });
    };
    const hedge = async (): Promise<void> => {
      while (next < ids.length) {
        await delay(clock, hedgeAfterMs, over.signal);
        if (over.signal.aborted) return;
        askNext();
      }
    };
    while (next < Math.min(quorum, ids.length)) askNext();
    if (underWay === 0) settle();
    void hedge();
  });
};
