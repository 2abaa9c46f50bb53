package schema

import (
	"errors"
	"fmt"
)

// Item is a leaf, an element of a leaf-list, or a container that means something by being there, as a path with its
// value. Keys of entries are items too.
type Item struct {
	Path  string `json:"p"`
	Value string `json:"v,omitempty"`
}

// Items lists what is in a tree, in order. Put of each in an empty tree gives the same tree.
func (n *Node) Items() []Item {
	var out []Item
	n.Walk(func(x *Node) bool {
		if x.item() {
			out = append(out, Item{x.Path(), x.Value})
		}
		return true
	})
	return out
}

// item tells whether a node is an Item: the rest is there because of what is in it.
func (n *Node) item() bool { return n.Def.Leafy() || n.Def.Presence }

// Put sets what is at a path, with all that has to be above it.
func (n *Node) Put(i Item) error {
	steps, err := ParsePath(i.Path)
	if err != nil {
		return err
	}
	at := n
	for at.Parent != nil {
		at = at.Parent
	}
	for k, s := range steps {
		d := at.Def.byName[s.Name]
		if d == nil {
			return fmt.Errorf("%s: no node %s in the model", i.Path, s.Name)
		}
		keys, err := s.values(d)
		if err != nil {
			return fmt.Errorf("%s: %w", i.Path, err)
		}
		last := k == len(steps)-1
		if d.Kind == Leaf {
			if !last {
				return fmt.Errorf("%s: %s is a leaf", i.Path, s.Name)
			}
			v, err := d.Canonical(i.Value)
			if err != nil {
				return fmt.Errorf("%s: %w", i.Path, err)
			}
			if old, ok := at.Leaf(d.Name); ok && d.IsKey() && old != v {
				return fmt.Errorf("%s: a key can't be changed", i.Path)
			}
			_, err = at.Set(d, v)
			return err
		}
		c, err := at.Add(d, keys...)
		if err != nil && !errors.Is(err, ErrExists) {
			return fmt.Errorf("%s: %w", i.Path, err)
		}
		for n, k := range d.Keys { // they may have gone item by item
			if c.kids[k] == nil {
				if _, err := c.Add(d.byName[k], keys[n]); err != nil {
					return fmt.Errorf("%s: %w", i.Path, err)
				}
			}
		}
		at = c
	}
	return nil
}

// Take removes what is at a path, and containers above it that mean nothing by themselves and are empty then. What
// is not there is no error.
func (n *Node) Take(path string) error {
	at, err := n.Find(path)
	if errors.Is(err, ErrMissing) {
		return nil
	}
	if err != nil {
		return err
	}
	at.Drop()
	return nil
}

// Drop removes a node from its tree, see Take.
func (n *Node) Drop() {
	up := n.Parent
	if up == nil {
		n.kids, n.sorted = nil, nil
		return
	}
	up.Remove(n)
	if up.Len() == 0 && (up.Def.Kind == Container && !up.Def.Presence || up.Def.Kind == List && len(up.Def.Keys) > 0) {
		up.Drop()
	}
}

// Change is a difference between two trees at a path: Old or New is nil where it is not there.
type Change struct {
	Path string  `json:"p"`
	Old  *string `json:"o,omitempty"`
	New  *string `json:"n,omitempty"`
}

// Diff lists the items in which a tree differs from an older one: what goes in reverse order, then what comes or
// changes in order.
func Diff(old, new *Node) []Change {
	var gone, come []Change
	var walk func(a, b *Node)
	whole := func(n *Node, f func(Item)) {
		for _, i := range n.Items() {
			f(i)
		}
	}
	walk = func(a, b *Node) {
		if a.item() && a.Value != b.Value {
			o, v := a.Value, b.Value
			come = append(come, Change{b.Path(), &o, &v})
		}
		moved := moved(a, b)
		for _, c := range a.Children() {
			if b.kids[c.id] == nil || moved[c.id] {
				whole(c, func(i Item) { gone = append(gone, Change{Path: i.Path, Old: &i.Value}) })
			}
		}
		for _, c := range b.Children() {
			if o := a.kids[c.id]; o != nil && !moved[c.id] {
				walk(o, c)
			} else {
				whole(c, func(i Item) { come = append(come, Change{Path: i.Path, New: &i.Value}) })
			}
		}
	}
	walk(old, new)
	for i, j := 0, len(gone)-1; i < j; i, j = i+1, j-1 {
		gone[i], gone[j] = gone[j], gone[i]
	}
	return append(gone, come...)
}

// moved names the entries of lists ordered by users that stand elsewhere now: all after the first that does, which
// go and come again, since what comes stands last.
func moved(a, b *Node) map[string]bool {
	var out map[string]bool
	for _, d := range b.Def.Children {
		if !d.Ordered {
			continue
		}
		order := func(n, other *Node) (ids []string) {
			for _, c := range n.Children() {
				if c.Def == d && other.kids[c.id] != nil {
					ids = append(ids, c.id)
				}
			}
			return ids
		}
		was, is := order(a, b), order(b, a)
		same := 0
		for _, c := range b.Children() { // up to the first that is new or stands elsewhere
			if c.Def == d && (same >= len(was) || was[same] != c.id) {
				break
			} else if c.Def == d {
				same++
			}
		}
		for _, id := range is[same:] {
			if out == nil {
				out = map[string]bool{}
			}
			out[id] = true
		}
	}
	return out
}

// Patch applies the changes of a Diff to a tree, in their order.
func (n *Node) Patch(changes []Change) error {
	for _, c := range changes {
		var err error
		if c.New == nil {
			err = n.Take(c.Path)
		} else {
			err = n.Put(Item{c.Path, *c.New})
		}
		if err != nil {
			return err
		}
	}
	n.Prune()
	return nil
}

// Prune removes containers that mean nothing and hold nothing, and entries that lost their keys: what is left of
// them went item by item.
func (n *Node) Prune() {
	for _, c := range n.Children() {
		if c.Def.Leafy() {
			continue
		}
		c.Prune()
		if c.Def.Kind == Container && !c.Def.Presence && c.Len() == 0 || c.Def.Kind == List && len(c.Def.Keys) > 0 && c.kids[c.Def.Keys[0]] == nil {
			n.Remove(c)
		}
	}
}
