/**
 * Model test of the controls. `npx fleet model --runs N --seed S` runs longer series. `regressions` has runs that once
 * violated a rule, by the fault behind it; none may violate a rule now.
 */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { checkControlModel, ModelHistory, replayModel, type ModelRun } from '@tillerstair/sim';
import { ConfigRecord, bootstrapState, type Member, type State } from '@tillerstair/state';

const regressions: ReadonlyMap<string, ModelRun> = new Map([
  [
    'a follower that catches up in a new term stores an older state over a newer one',
    {
      seed: 98969,
      controls: 3,
      actions: [
        { kind: 'freeze', at: 2, ms: 2500 },
        { kind: 'wait', ms: 6000 },
      ],
    },
  ],
  [
    'a change is refused because of another one of its batch that is not committed yet',
    { seed: 0, controls: 3, actions: [{ kind: 'race', at: 0, other: 0 }] },
  ],
]);

const model = suite('the model test of the controls');

model('seeded runs of requests and disturbances violate no rule', async () => {
  const result = await checkControlModel({ seed: 1, runs: 150, longest: 40 });
  assert.equal(result.failed, undefined, JSON.stringify(result.failed));
  assert.is(result.runs, 150);
  assert.ok(result.checked > 2000, `only ${result.checked} statements were checked`);
});

model('the same seed yields the same runs', async () => {
  const choice = { seed: 7, runs: 4, longest: 40 };
  assert.equal(await checkControlModel(choice), await checkControlModel(choice));
});

for (const [fault, run] of regressions)
  model(`regression: ${fault}`, async () => {
    assert.equal(await replayModel(run), []);
  });

const member: Member = {
  id: 'a',
  kind: 'control',
  addr: 'control-0',
  http: '',
  zone: '',
  data: '',
  name: '',
};
const stateAt = (
  term: number,
  version: number,
  master: string,
  configVersion: number,
  digest: string,
): State => ({
  ...bootstrapState('cluster', [member], 1),
  term,
  version,
  master,
  config: ConfigRecord.parse({ version: configVersion, text: '', digest, compiled: '' }),
});
const violatedRules = (addEvents: (history: ModelHistory) => void): readonly string[] => {
  const history = new ModelHistory();
  history.committed('a', stateAt(1, 5, 'a', 3, 'three'));
  addEvents(history);
  return history.findings.map((finding) => finding.rule);
};
const change = { version: 4, base: 3, digest: 'four', text: '' };

model('commits and acknowledgements that violate a rule are detected', () => {
  assert.equal(
    violatedRules(() => undefined),
    [],
  );
  assert.equal(
    violatedRules((history) => history.committed('b', stateAt(1, 6, 'b', 3, 'three'))),
    ['one master a term'],
  );
  assert.equal(
    violatedRules((history) => history.committed('b', stateAt(1, 5, 'a', 3, 'other'))),
    ['committed state is kept'],
  );
  assert.equal(
    violatedRules((history) => history.committed('b', stateAt(1, 4, 'a', 3, 'three'))),
    ['committed state is kept'],
  );
  assert.equal(
    violatedRules((history) => history.committed('b', stateAt(2, 6, 'b', 2, 'two'))),
    ['committed state is kept'],
  );
  assert.equal(
    violatedRules((history) => history.committed('b', stateAt(2, 6, 'b', 3, 'other'))),
    ['one content a version'],
  );
  assert.equal(
    violatedRules((history) => history.acknowledged(change, 'a')),
    ['acknowledged changes are committed'],
  );
  assert.equal(
    violatedRules((history) => history.acknowledged({ ...change, version: 3 }, 'a')),
    ['one content a version'],
  );
});

model('refusals and reads that violate a rule are detected', () => {
  assert.equal(
    violatedRules((history) => history.refused(change, 'a', history.begin(), 3)),
    ['refusals are true'],
  );
  assert.equal(
    violatedRules((history) =>
      history.refused({ ...change, version: 3, base: 2, digest: 'three' }, 'a', history.begin(), 3),
    ),
    ['refusals are true'],
  );
  assert.equal(
    violatedRules((history) =>
      history.refused({ ...change, base: 2, version: 3 }, 'a', history.begin(), 2),
    ),
    ['refusals are true'],
  );
  assert.equal(
    violatedRules((history) =>
      history.refused({ ...change, base: 2, version: 3 }, 'a', history.begin(), 3),
    ),
    [],
  );
  assert.equal(
    violatedRules((history) => history.read({ version: 2, digest: 'two' }, 'a', history.begin())),
    ['reads hold every acknowledged change'],
  );
  assert.equal(
    violatedRules((history) => history.read({ version: 4, digest: 'four' }, 'a', history.begin())),
    ['reads hold every acknowledged change'],
  );
  assert.equal(
    violatedRules((history) => history.read(undefined, 'a', history.begin())),
    ['reads hold every acknowledged change'],
  );
  assert.equal(
    violatedRules((history) => history.read({ version: 3, digest: 'three' }, 'a', history.begin())),
    [],
  );
});

model.run();
